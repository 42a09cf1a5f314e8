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
 * connections. Normally, the pool prefers the idle connection that was used most recently. While
 * the peer is suspected of sending responses twice (see {@link IdleTimeoutEstimator}), the pool
 * prefers the connection that has been idle longest. On this connection, a duplicate of the last
 * response has had the most time to arrive, and a connection with unexpected input is not reused.
 *
 * <p>The pool owns its connections. Used on the event loop's thread only. Times are in microseconds
 * of the loop's clock.
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
   * @param connectTimeout the maximum time to establish a connection and to write the first request
   *     on it, in microseconds
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
   * <p>After a response, the peer may send a duplicate of the response. Therefore a connection can
   * be reused only after a minimum idle time. The minimum is the larger of two delays. The first
   * delay is the reuse delay of the connection. It is 0 after a 2xx response, because a duplicate
   * of a 2xx response does no harm. The second delay applies to all connections ({@link
   * IdleTimeoutEstimator#reuseDelayMicros}). It is 0 unless the peer is suspected of sending
   * responses twice.
   *
   * <p>Prefers the connection that was used most recently. While the peer is suspected of sending
   * responses twice, prefers the connection that has been idle longest. If the selected connection
   * has unexpected input, has reached the end of its input, or has failed, closes this connection
   * and tries the next.
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
   * <p>If a duplicate of the last response arrives after the connection is reused, the duplicate is
   * taken for the response to the next request. If the duplicate is a rejection, the dispatcher
   * concludes that the next request did not run, although the peer may have run this request.
   *
   * @param mayReuseAtOnce true if the connection may be reused at once, because a duplicate of the
   *     last response does no harm; false if the connection must not be reused for {@link
   *     IdleTimeoutEstimator#DUPLICATE_WINDOW_MICROS}
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

  /**
   * Returns the maximum time to establish a connection and to write the first request on it, in
   * microseconds.
   */
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
