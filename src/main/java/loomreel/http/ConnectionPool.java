package loomreel.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import loomreel.decision.AttemptOutcome;
import loomreel.io.ByteQueue;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * A pool of HTTP connections to one peer. It opens connections on demand and reuses idle ones, the
 * most recently used first. Owns its connections. Used on the event loop's thread only. Times are
 * in microseconds of the loop's clock.
 */
public final class ConnectionPool {
  /** The name of the trace event for an opened connection. */
  private static final String TRACE_CONNECTION_OPENED = "handshake";

  private final RateLimitedLogger log;
  private final EventLoop loop;
  private final String peerName;
  private final DescriptorQuota descriptorQuota;
  private final long connectTimeout;
  private final IdleTimeoutEstimator idleTimeout;

  /** The idle connections, ordered by the time at which they became idle. */
  private final ArrayDeque<PooledConnection> idleConnections = new ArrayDeque<>();

  private InetSocketAddress address;

  /**
   * The number of calls of {@link #moveTo}. Connections of an earlier generation are not reused.
   */
  private int generation;

  /**
   * Creates a pool without connections.
   *
   * @param peerName the name of the peer in log and trace lines
   * @param descriptorQuota limits the open connections of this and other pools together
   * @param connectTimeout the maximum time to establish a connection, in microseconds
   * @param idleTimeout estimates how long a connection may be idle and still be reused
   */
  public ConnectionPool(
      EventLoop loop,
      String peerName,
      InetSocketAddress address,
      DescriptorQuota descriptorQuota,
      long connectTimeout,
      IdleTimeoutEstimator idleTimeout,
      RateLimitedLogger log) {
    this.loop = loop;
    this.peerName = peerName;
    this.address = address;
    this.descriptorQuota = descriptorQuota;
    this.connectTimeout = connectTimeout;
    this.idleTimeout = idleTimeout;
    this.log = log;
  }

  /** Returns the address of the peer. */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Sets the address of the peer and stops the reuse of existing connections, because the peer has
   * moved, restarted or been removed. Idle connections are closed at once, the others after their
   * exchange.
   *
   * @param newAddress may equal the current address
   */
  public void moveTo(InetSocketAddress newAddress) {
    address = newAddress;
    generation++;
    closeIdle();
  }

  /**
   * Sends a request on an idle connection or a new one. The buffers of the request are released in
   * any case. The exchange may end before this method returns.
   *
   * @return the connection of the exchange, or null if none is available, in which case the
   *     exchange has failed
   */
  public PooledConnection call(ByteQueue request, HttpExchange exchange) {
    closeStale();
    PooledConnection connection = pollReusable();
    if (connection == null) {
      connection = open();
    } else {
      descriptorQuota.connectionReused(connection);
    }
    if (connection == null) {
      request.release();
      exchange.failed(AttemptOutcome.CONNECT_FAILED);
      return null;
    }
    connection.send(request, exchange, loop.now() + connectTimeout);
    return connection;
  }

  /**
   * Opens a connection. Returns null if no file descriptor is available or the connection cannot be
   * opened.
   */
  private PooledConnection open() {
    if (!descriptorQuota.ensureCapacity()) {
      log.warn("no descriptor available " + logFields());
      return null;
    }
    PooledConnection connection;
    try {
      connection = new PooledConnection(loop, this, generation);
    } catch (IOException e) {
      return null;
    }
    descriptorQuota.connectionOpened();
    if (loop.trace() != null) {
      loop.trace().line(loop.now(), TRACE_CONNECTION_OPENED, "peer", peerName);
    }
    return connection;
  }

  /**
   * Removes and returns an idle connection on which no late byte of its last exchange can arrive.
   * Returns null if there is none. Prefers the most recently used connection or, while duplicate
   * responses are suspected, the one that has been idle longest. Closes connections on which
   * unexpected input has arrived.
   */
  private PooledConnection pollReusable() {
    long minIdleMicros = idleTimeout.reuseDelayMicros(loop.now());
    Iterator<PooledConnection> candidates =
        minIdleMicros == 0 ? idleConnections.descendingIterator() : idleConnections.iterator();
    while (candidates.hasNext()) {
      PooledConnection next = candidates.next();
      if (loop.now() - next.idleSinceMicros() >= Math.max(minIdleMicros, next.reuseDelayMicros())) {
        candidates.remove();
        if (next.hasNoPendingInput()) {
          return next;
        }
        next.close();
      }
    }
    return null;
  }

  /** Records that a connection has received bytes that are not the response to a request. */
  void recordUnsolicitedResponse() {
    idleTimeout.recordUnsolicitedResponse(loop.now());
  }

  /**
   * Returns a connection to the pool after its exchange is complete. The connection is closed
   * instead if it is of an earlier generation or the descriptor quota is exceeded.
   *
   * @param duplicateHarmless whether a duplicate of the last response could be taken for the
   *     response to the next request without a wrong conclusion; if not, the connection is not
   *     reused within {@link IdleTimeoutEstimator#DUPLICATE_WINDOW_MICROS}
   */
  void release(PooledConnection connection, boolean duplicateHarmless) {
    if (connection.generation() != generation || descriptorQuota.isExceeded()) {
      connection.close();
      return;
    }
    connection.markIdle(
        loop.now(), duplicateHarmless ? 0 : IdleTimeoutEstimator.DUPLICATE_WINDOW_MICROS);
    idleConnections.addLast(connection);
    descriptorQuota.connectionIdle(connection);
  }

  void connectionClosed(PooledConnection connection) {
    idleConnections.remove(connection);
    descriptorQuota.connectionClosed(connection);
  }

  /**
   * Closes the connections that have reached the idle timeout. They are closed before the peer
   * closes them, because a request that is sent while the peer closes its connection is lost.
   */
  public void closeStale() {
    long timeoutMicros = idleTimeout.idleTimeout(loop.now());
    while (!idleConnections.isEmpty()
        && loop.now() - idleConnections.peekFirst().idleSinceMicros() >= timeoutMicros) {
      idleConnections.peekFirst().close();
    }
  }

  /**
   * Records the reuse of a connection.
   *
   * @param idleMicros how long the connection had been idle, in microseconds
   * @param reset whether the peer closed or reset the connection before any byte of a response, and
   *     within one connect timeout after the request
   */
  void recordReuse(long idleMicros, boolean reset) {
    idleTimeout.recordReuse(idleMicros, reset, loop.now());
  }

  /** Returns the maximum time to establish a connection, in microseconds. */
  public long connectTimeout() {
    return connectTimeout;
  }

  void closeIdle() {
    new ArrayList<>(idleConnections).forEach(PooledConnection::close);
  }

  void logMalformedResponse(BadMessageException cause) {
    log.warn("malformed HTTP response " + logFields() + " reason=" + cause.getMessage());
  }

  private String logFields() {
    return "peer=" + peerName + " address=" + address.getHostString() + ":" + address.getPort();
  }

  @Override
  public String toString() {
    return peerName + " at " + address.getHostString() + ":" + address.getPort();
  }
}
