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
 * A pool of HTTP connections to one peer. The pool opens connections on demand and reuses idle
 * connections. It prefers the idle connection that was used most recently. While duplicate
 * responses are suspected (see {@link IdleTimeoutEstimator}), it prefers the connection that has
 * been idle longest instead. The pool owns its connections. Used on the event loop's thread only.
 * Times are in microseconds of the loop's clock.
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
   * The number of calls of {@link #moveTo}. Each connection has the generation in which it was
   * opened. A connection of an earlier generation is not reused.
   */
  private int generation;

  /**
   * Creates a pool without connections.
   *
   * @param peerName the name of the peer in log and trace lines
   * @param descriptorQuota limits the total number of open connections of all pools that share it
   * @param connectTimeout the maximum time to establish a connection, in microseconds
   * @param idleTimeout estimates how long a connection may be idle before it must not be reused
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
   * Sets the address of the peer and stops the reuse of existing connections. Called when the peer
   * has moved, restarted or been removed. Idle connections are closed at once. A connection in use
   * is closed when its exchange ends.
   *
   * @param newAddress the address; may equal the current address
   */
  public void moveTo(InetSocketAddress newAddress) {
    address = newAddress;
    generation++;
    closeIdle();
  }

  /**
   * Sends a request on an idle connection or, if no idle connection can be reused, on a new
   * connection. The buffers of the request are released in any case. The exchange may end before
   * this method returns.
   *
   * @return the connection of the exchange; null if no connection is available, in which case
   *     {@link HttpExchange#failed} has already been called
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
   * Opens a connection. Returns null if the descriptor quota allows no further connection or if the
   * connection cannot be opened.
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
   * Removes an idle connection that can be reused, and returns it. Returns null if no idle
   * connection can be reused.
   *
   * <p>A connection can be reused once it has been idle for the larger of two times, because a
   * duplicate of the last response may still arrive. The first time is the reuse delay of this
   * connection. It is 0 after a 2xx response, because a duplicate of a 2xx response does no harm.
   * The second time applies to all connections ({@link IdleTimeoutEstimator#reuseDelayMicros}). It
   * is 0 unless duplicate responses are suspected.
   *
   * <p>Prefers the connection that was used most recently. While duplicate responses are suspected,
   * prefers the connection that has been idle longest. If a connection that was selected has
   * unexpected input, has reached the end of its input, or has failed, closes this connection and
   * tries the next.
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

  /**
   * Records that a connection has received bytes that do not belong to the response to a request.
   */
  void recordUnsolicitedResponse() {
    idleTimeout.recordUnsolicitedResponse(loop.now());
  }

  /**
   * Returns a connection to the pool after its exchange is complete. If the connection is of an
   * earlier generation or the descriptor quota is exceeded, closes the connection instead.
   *
   * <p>A duplicate of the last response may arrive after the connection is reused. The duplicate is
   * then taken for the response to the next request. A duplicate of a rejection would wrongly prove
   * that the next request did not run.
   *
   * @param mayReuseAtOnce true if such a duplicate would lead to no wrong conclusion, as after a
   *     2xx response, so that the connection may be reused at once; if false, the connection is not
   *     reused for {@link IdleTimeoutEstimator#DUPLICATE_WINDOW_MICROS}
   */
  void release(PooledConnection connection, boolean mayReuseAtOnce) {
    if (connection.generation() != generation || descriptorQuota.isExceeded()) {
      connection.close();
      return;
    }
    connection.markIdle(
        loop.now(), mayReuseAtOnce ? 0 : IdleTimeoutEstimator.DUPLICATE_WINDOW_MICROS);
    idleConnections.addLast(connection);
    descriptorQuota.connectionIdle(connection);
  }

  void connectionClosed(PooledConnection connection) {
    idleConnections.remove(connection);
    descriptorQuota.connectionClosed(connection);
  }

  /**
   * Closes the idle connections that have reached the idle timeout. The purpose is to close a
   * connection before the peer does, because a request that is sent while the peer closes the
   * connection is lost.
   */
  public void closeStale() {
    long timeoutMicros = idleTimeout.idleTimeout(loop.now());
    while (!idleConnections.isEmpty()
        && loop.now() - idleConnections.peekFirst().idleSinceMicros() >= timeoutMicros) {
      idleConnections.peekFirst().close();
    }
  }

  /**
   * Records the result of a request on a connection.
   *
   * @param idleMicros how long the connection had been idle before the request, in microseconds; 0
   *     if this was the first request on the connection
   * @param reset true if the peer closed or reset the connection before any byte of the response
   *     arrived and within one connect timeout after the request; false if a response arrived
   */
  void recordReuse(long idleMicros, boolean reset) {
    idleTimeout.recordReuse(idleMicros, reset, loop.now());
  }

  /** Returns the maximum time to establish a connection, in microseconds. */
  public long connectTimeout() {
    return connectTimeout;
  }

  /** Closes all idle connections. */
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
