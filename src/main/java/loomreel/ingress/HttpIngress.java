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
  /**
   * Decides, from the current state of the process, what is accepted and when connections are
   * closed.
   */
  public interface AdmissionGate {
    /** Returns whether the readiness check reports that clients should use this process. */
    boolean acceptsClients();

    /**
     * Returns whether this process accepts jobs. If it does not, operators direct the clients to
     * other dispatchers, which accept the jobs.
     */
    boolean acceptsJobs();

    /** Returns whether each connection is closed as soon as it becomes idle. */
    boolean isClosing();

    /**
     * Returns whether a response that starts now is the last one on its connection.
     *
     * @param fromWorker whether the peer of the connection is a worker
     */
    boolean isFinalResponse(boolean fromWorker);

    /**
     * Forwards a job status update to the other process that serves as the same dispatcher, for
     * example during a hot restart. Used if the call that the update belongs to is not active in
     * this process.
     *
     * @param body the update as it was received
     * @param completed called when the other process has handled the update or has disconnected;
     *     called at once if no other process is connected
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
  private int timeoutCount;
  private int evictedStalledCount;

  /**
   * Creates an ingress that accepts no connection before {@link #open}.
   *
   * @param listener the listening socket, which is bound and non-blocking
   * @param gate decides what is accepted and when connections are closed
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
   * @param grantedDescriptors the number of file descriptors that this process may use for HTTP,
   *     which include the descriptors of connections to workers; idle client connections may hold a
   *     fraction of these descriptors
   */
  public void setCapacity(int maxConnections, int grantedDescriptors) {
    limiter.setCapacity(maxConnections, grantedDescriptors);
  }

  /**
   * Stops accepting connections permanently. Called during a hot restart, when the successor of
   * this process accepts the connections.
   */
  public void stopAccepting() {
    acceptor.stop();
  }

  /**
   * Closes the idle connections of clients. Connections whose peer is known to be a worker stay
   * open.
   */
  public void closeIdleClients() {
    for (ClientConnection connection : registry.idleConnections()) {
      if (!connection.isFromWorker()) {
        connection.closeIfIdle(ClientConnection.PartialRequest.AWAIT);
      }
    }
  }

  /**
   * Closes the connections that are waiting for a request. The following connections stay open:
   *
   * <ul>
   *   <li>A connection on which a request is being received or processed.
   *   <li>A connection on which no job or job status update has arrived, until {@link
   *       ConnectionLimiter#GRACE_PERIOD_MICROS} have passed since its accept. The first request on
   *       this connection may still arrive.
   * </ul>
   *
   * <p>One invocation may leave connections open. The graceful shutdown of the process therefore
   * repeats the invocation until the process exits. This method does not stop accepting
   * connections.
   */
  @Override
  public void beginDrain() {
    long graceStart = loop.now() - ConnectionLimiter.GRACE_PERIOD_MICROS;
    for (ClientConnection connection : registry.openConnections()) {
      if (registry.isProvenOrAcceptedNoLaterThan(connection, graceStart)) {
        connection.closeIfIdle(ClientConnection.PartialRequest.AWAIT);
      }
    }
  }

  /**
   * Returns whether any connection is open. The client of an open connection may not have received
   * its response yet, and would lose the response if the process exited.
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
        + " evicted_stalled="
        + evictedStalledCount
        + " timeouts="
        + timeoutCount
        + " jobs_without_capacity="
        + requestHandler.rejectedAtAdmissionCount();
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

  /**
   * Counts a timeout of a connection: a request was not received in time, a response was not
   * written in time, or the client did not close the connection in time.
   */
  void recordTimeout() {
    timeoutCount++;
  }

  /** Counts a connection that was stalled and was evicted to release its buffers. */
  void recordEviction() {
    evictedStalledCount++;
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

  /** Records that a connection has received a request or the first part of a request. */
  void markBusy(ClientConnection connection) {
    registry.markBusy(connection);
  }

  /**
   * Records that a connection has become idle. If idle connections are to be closed, closes this
   * connection. Otherwise, if too many connections are idle, closes the connection that has been
   * idle longest.
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
   * Closes a connection in the next iteration of the event loop if the connection is still idle at
   * that time. The connection is not closed at once, because this method may be called while input
   * of the connection is being processed.
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
