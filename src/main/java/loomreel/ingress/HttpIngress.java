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
 * The HTTP ingress. Accepts connections of clients, which submit jobs, and of workers, which send
 * job status updates. {@link ConnectionLimiter} limits the number of connections.
 *
 * <p>Not thread-safe: used on the event loop's thread only. Owns its {@link ClientConnection}s. The
 * listening socket is owned by the event loop.
 */
public final class HttpIngress implements Ingress {
  /** The rules for accepting connections and jobs in the current state of the process. */
  public interface AdmissionGate {
    /** Returns whether the readiness check reports that clients should use this process. */
    boolean acceptsClients();

    /** Returns whether jobs are accepted. If not, other processes accept them. */
    boolean acceptsJobs();

    /** Returns whether each connection is closed as soon as it is idle. */
    boolean isClosing();

    /**
     * Returns whether a response that starts now is the last one on its connection.
     *
     * @param fromWorker whether the peer of the connection is a worker
     */
    boolean isFinalResponse(boolean fromWorker);

    /**
     * Forwards a job status update for a job that is not active in this process to the other
     * process that serves as the same dispatcher.
     *
     * @param body the update as it was received
     * @param completed called when the other process has handled the update or has disconnected, or
     *     at once if there is no other process
     */
    void forwardStatusUpdate(byte[] body, Runnable completed);
  }

  /** The maximum number of connections that are accepted in one iteration of the event loop. */
  private static final int MAX_ACCEPTS_PER_ITERATION = 64;

  private final AdmissionGate gate;
  private final RequestHandler requestHandler;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.ingress");
  private final EventLoop loop;
  private final ConnectionRegistry registry = new ConnectionRegistry();
  private final Acceptor acceptor;
  private final ConnectionLimiter limiter;
  private int acceptedCount;
  private int requestTimeouts;

  /**
   * Creates an ingress that accepts no connection before {@link #open}.
   *
   * @param listener the listening socket, which is bound and non-blocking
   * @param gate the rules for accepting connections and jobs
   * @throws IOException if the listener cannot be registered with the event loop
   */
  public HttpIngress(
      Dispatcher dispatcher, Settings settings, ServerSocketChannel listener, AdmissionGate gate)
      throws IOException {
    loop = dispatcher.loop();
    this.gate = gate;
    requestHandler = new RequestHandler(dispatcher, settings, gate, log);
    acceptor = new Acceptor(loop, listener, MAX_ACCEPTS_PER_ITERATION, log, this::accept);
    limiter = new ConnectionLimiter(loop, registry, acceptor, log);
  }

  /** Starts accepting connections. */
  public void open() {
    acceptor.start();
  }

  /**
   * Sets the maximum number of open connections.
   *
   * @param grantedDescriptors the number of file descriptors of the process, a fraction of which
   *     may be used by idle connections
   */
  public void setCapacity(int maxConnections, int grantedDescriptors) {
    limiter.setCapacity(maxConnections, grantedDescriptors);
  }

  /** Stops accepting connections permanently, because another process accepts them. */
  public void stopAccepting() {
    acceptor.stop();
  }

  /** Closes the idle connections of clients. Connections of workers stay open. */
  public void closeIdleClients() {
    for (ClientConnection connection : registry.idleConnections()) {
      if (!connection.isFromWorker()) {
        connection.closeIfIdle(ClientConnection.PartialRequest.AWAIT);
      }
    }
  }

  /**
   * Closes all idle connections, except unproven ones in their grace period, which may still send
   * their first request. Must therefore be called repeatedly until no connection is open.
   */
  @Override
  public void beginDrain() {
    long graceStart = loop.now() - ConnectionLimiter.UNPROVEN_GRACE_MICROS;
    for (ClientConnection connection : registry.openConnections()) {
      if (registry.isProvenOrAcceptedBy(connection, graceStart)) {
        connection.closeIfIdle(ClientConnection.PartialRequest.AWAIT);
      }
    }
  }

  /**
   * Returns whether a connection is open. Its client may not have received the response yet, which
   * would be lost if the process ended.
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
        + acceptedCount
        + " evicted_unproven="
        + limiter.evictedUnprovenCount()
        + " evicted_idle="
        + limiter.evictedIdleCount()
        + " timeouts="
        + requestTimeouts
        + " jobs_without_capacity="
        + requestHandler.jobsWithoutCapacity();
  }

  private void accept(SocketChannel channel) throws IOException {
    try {
      ClientConnection connection = new ClientConnection(loop, channel, this, requestHandler);
      registry.add(connection, loop.now());
      acceptedCount++;
    } finally {
      limiter.evictExcess();
    }
  }

  /** Counts a request, a response or a close by the client that was not complete in time. */
  void recordTimeout() {
    requestTimeouts++;
  }

  /** Returns whether a response that starts now is the last one on its connection. */
  boolean isFinalResponse(boolean fromWorker) {
    return gate.isFinalResponse(fromWorker);
  }

  void logMalformedRequest(BadMessageException error) {
    log.info("malformed request reason=" + error.getMessage());
  }

  /** Records that a connection has received a job or a job status update. */
  void markProven(ClientConnection connection) {
    registry.markProven(connection);
  }

  /** Records that a connection has received a request or a part of one. */
  void markBusy(ClientConnection connection) {
    registry.markBusy(connection);
  }

  /**
   * Records that a connection has become idle. Closes it if the process is closing connections, or
   * closes the connection that has been idle longest if there are too many idle ones.
   */
  void markIdle(ClientConnection connection) {
    registry.markIdle(connection);
    if (gate.isClosing()) {
      closeInNextIteration(connection);
    } else {
      limiter.pollExcessIdle().ifPresent(this::closeInNextIteration);
    }
  }

  /**
   * Closes a connection in the next iteration of the event loop if it is idle then. It is not
   * closed at once, because its input may be being processed.
   */
  private void closeInNextIteration(ClientConnection connection) {
    loop.schedule(loop.now(), () -> connection.closeIfIdle(ClientConnection.PartialRequest.AWAIT));
  }

  /** Records that the output of a connection was shut down. */
  void markHalfClosed(ClientConnection connection) {
    registry.markHalfClosed(connection, loop.now());
  }

  /** Removes a connection that was closed. */
  void remove(ClientConnection connection) {
    registry.remove(connection);
  }
}
