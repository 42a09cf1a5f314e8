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
 * The HTTP connections to one peer. Opens them on demand and reuses idle ones, the most recently
 * used first. Owns its connections. Used on the event loop's thread only; times are microseconds.
 */
public final class ConnectionPool {
  /** The name of a trace event. */
  private static final String TRACE_CONNECTION_OPENED = "handshake";

  private final RateLimitedLogger log;
  private final EventLoop loop;
  private final String name;
  private final DescriptorQuota descriptorQuota;
  private final long connectTimeout;
  private final IdleTimeoutEstimator idleTimeout;

  /** The longest idle first. */
  private final ArrayDeque<PooledConnection> idleConnections = new ArrayDeque<>();

  private InetSocketAddress address;

  /** Counts the peer's moves and restarts; connections of earlier generations are not reused. */
  private int generation;

  /**
   * Creates a pool without connections.
   *
   * @param name the peer's name for the log
   * @param connectTimeout how long a connection may take to be established
   * @param idleTimeout how long a connection may be idle and still be reused
   */
  public ConnectionPool(
      EventLoop loop,
      String name,
      InetSocketAddress address,
      DescriptorQuota descriptorQuota,
      long connectTimeout,
      IdleTimeoutEstimator idleTimeout,
      RateLimitedLogger log) {
    this.loop = loop;
    this.name = name;
    this.address = address;
    this.descriptorQuota = descriptorQuota;
    this.connectTimeout = connectTimeout;
    this.idleTimeout = idleTimeout;
    this.log = log;
  }

  /** The peer's address. */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Uses only new connections, to this address, from now on: the peer has moved, restarted or been
   * removed.
   */
  public void moveTo(InetSocketAddress newAddress) {
    address = newAddress;
    generation++;
    closeIdle();
  }

  /**
   * Sends a request. The request's buffers are released here in any case.
   *
   * @return the connection of the exchange, or null where none is available; the exchange has
   *     failed then
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

  /** Opens a connection, or returns null where that is impossible. */
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
      loop.trace().line(loop.now(), TRACE_CONNECTION_OPENED, "peer", name);
    }
    return connection;
  }

  /**
   * Removes an idle connection on which no late byte of its last exchange can arrive: the most
   * recently used, or the longest idle while duplicate responses are suspected. Null if there is
   * none.
   */
  private PooledConnection pollReusable() {
    long delay = idleTimeout.reuseDelay(loop.now());
    Iterator<PooledConnection> candidates =
        delay == 0 ? idleConnections.descendingIterator() : idleConnections.iterator();
    while (candidates.hasNext()) {
      PooledConnection next = candidates.next();
      if (loop.now() - next.idleSince() >= Math.max(delay, next.reuseDelay())) {
        candidates.remove();
        if (next.hasNoPendingInput()) {
          return next;
        }
        next.close();
      }
    }
    return null;
  }

  /** Records that a connection received bytes that are the response to no request. */
  void recordUnsolicitedResponse() {
    idleTimeout.recordUnsolicitedResponse(loop.now());
  }

  /**
   * Returns a connection to the pool whose exchange is complete.
   *
   * @param duplicateHarmless whether a duplicate of its last response, taken for the response to
   *     the next request, would prove nothing wrong
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
   * Closes connections that have been idle too long, before the peer does: a request that crosses
   * the peer's close is lost.
   */
  public void closeStale() {
    long limit = idleTimeout.idleTimeout(loop.now());
    while (!idleConnections.isEmpty()
        && loop.now() - idleConnections.peekFirst().idleSince() >= limit) {
      idleConnections.peekFirst().close();
    }
  }

  /** Records that a connection was reset at once when it was reused, or that it was not. */
  void recordReuse(long idleBefore, boolean reset) {
    idleTimeout.recordReuse(idleBefore, reset, loop.now());
  }

  /** How long a connection may take to be established, in microseconds. */
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
    return "peer=" + name + " address=" + address.getHostString() + ":" + address.getPort();
  }

  @Override
  public String toString() {
    return name + " at " + address.getHostString() + ":" + address.getPort();
  }
}
