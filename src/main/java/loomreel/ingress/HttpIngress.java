package loomreel.ingress;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import loomreel.core.Dispatcher;
import loomreel.core.Ingress;
import loomreel.decision.Settings;
import loomreel.http.BadMessageException;
import loomreel.io.Acceptor;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * The HTTP ingress: accepts the connections of clients with jobs and of workers with job status
 * updates. {@link ConnectionLimiter} bounds their number.
 *
 * <p>Used on the event loop's thread only. It owns its {@link ClientConnection}s; the listening
 * socket belongs to the event loop.
 */
public final class HttpIngress implements Ingress {
  /** Which connections and jobs the process accepts in its present state. */
  public interface AdmissionGate {
    /** Whether clients should use this process, as its readiness check reports. */
    boolean acceptsClients();

    /** Whether jobs are accepted; if not, other processes accept them. */
    boolean acceptsJobs();

    /** Whether every connection is closed when it falls idle. */
    boolean isClosing();

    /**
     * Whether a response is the last one on its connection.
     *
     * @param fromWorker whether the peer is a worker
     */
    boolean isFinalResponse(boolean fromWorker);

    /**
     * Forwards a job status update for a job that is unknown here to the other process.
     *
     * @param body the update as it was received
     * @param completed called when the other process has handled it, or has disconnected
     */
    void forwardStatusUpdate(byte[] body, Runnable completed);
  }

  private static final int MAX_ACCEPTS_PER_TURN = 64;

  private final AdmissionGate gate;
  private final RequestHandler requestHandler;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.ingress");
  private final EventLoop loop;
  private final ConnectionRegistry registry = new ConnectionRegistry();
  private final Acceptor acceptor;
  private final ConnectionLimiter limiter;
  private int accepted;
  private int requestTimeouts;

  /**
   * Creates an ingress that accepts no connection before {@link #open}.
   *
   * @param listener bound and non-blocking
   * @throws IOException if the listener cannot be registered with the event loop
   */
  public HttpIngress(
      Dispatcher dispatcher, Settings settings, ServerSocketChannel listener, AdmissionGate gate)
      throws IOException {
    loop = dispatcher.loop();
    this.gate = gate;
    requestHandler = new RequestHandler(dispatcher, settings, gate, log);
    acceptor = new Acceptor(loop, listener, MAX_ACCEPTS_PER_TURN, log, this::accept);
    limiter = new ConnectionLimiter(loop, registry, acceptor, log);
  }

  /** Starts accepting connections. */
  public void open() {
    acceptor.start();
  }

  /**
   * Sets how many connections may be open.
   *
   * @param grantedDescriptors the process's file descriptors, a fraction of which may be idle
   *     connections
   */
  public void setCapacity(int connections, int grantedDescriptors) {
    limiter.setCapacity(connections, grantedDescriptors);
  }

  /** Stops accepting connections for good: another process accepts them. */
  public void stopAccepting() {
    acceptor.stop();
  }

  /** Closes the idle connections of clients; those of workers stay open. */
  public void closeIdleClients() {
    for (ClientConnection connection : registry.idleConnections()) {
      if (!connection.isFromWorker()) {
        connection.closeIfIdle(ClientConnection.PartialRequest.AWAIT);
      }
    }
  }

  /**
   * Closes all idle connections. One that was opened a moment ago has the time to send its first
   * request, so this is to be called repeatedly until no connection is open.
   */
  @Override
  public void beginDrain() {
    long graceStart = loop.now() - ConnectionLimiter.UNPROVEN_GRACE_MICROS;
    for (ClientConnection connection : registry.openConnections()) {
      if (registry.isProvenOrOpenSince(connection, graceStart)) {
        connection.closeIfIdle(ClientConnection.PartialRequest.AWAIT);
      }
    }
  }

  /**
   * Whether a connection is open: its client may not have received the response yet, and the end of
   * the process would lose it.
   */
  @Override
  public boolean hasPendingWork() {
    return registry.openCount() > 0;
  }

  @Override
  public String summary() {
    return "ingress connections="
        + registry.openCount()
        + " unproven="
        + registry.unprovenCount()
        + " idle="
        + registry.idleCount()
        + " half_closed="
        + registry.halfClosedCount()
        + " accepted="
        + accepted
        + " evicted_unproven="
        + limiter.unprovenEvicted()
        + " evicted_idle="
        + limiter.idleEvicted()
        + " timeouts="
        + requestTimeouts
        + " jobs_without_capacity="
        + requestHandler.jobsWithoutCapacity();
  }

  private void accept(SocketChannel channel) throws IOException {
    try {
      ClientConnection connection = new ClientConnection(loop, channel, this, requestHandler);
      registry.add(connection, loop.now());
      accepted++;
    } finally {
      limiter.evictExcess();
    }
  }

  /** Counts a request, response or close that did not complete in time. */
  void recordTimeout() {
    requestTimeouts++;
  }

  /** Whether a response that starts now is the last one on its connection. */
  boolean isFinalResponse(boolean fromWorker) {
    return gate.isFinalResponse(fromWorker);
  }

  void logMalformedRequest(BadMessageException error) {
    log.info("malformed request reason=" + error.getMessage());
  }

  /** A connection has received a job or a job status update. */
  void markProven(ClientConnection connection) {
    registry.markProven(connection);
  }

  /** A connection has a request, or a part of one. */
  void markBusy(ClientConnection connection) {
    registry.markBusy(connection);
  }

  /** A connection has no request any more. */
  void markIdle(ClientConnection connection) {
    registry.markIdle(connection);
    if (gate.isClosing()) {
      closeNextTurn(connection);
    } else {
      limiter.pollExcessIdle().ifPresent(this::closeNextTurn);
    }
  }

  /** Not now, because input of the connection may be being processed. */
  private void closeNextTurn(ClientConnection connection) {
    loop.schedule(loop.now(), () -> connection.closeIfIdle(ClientConnection.PartialRequest.AWAIT));
  }

  /** A connection's output was shut down. */
  void markHalfClosed(ClientConnection connection) {
    registry.markHalfClosed(connection, loop.now());
  }

  /** A connection was closed. */
  void remove(ClientConnection connection) {
    registry.remove(connection);
  }
}
