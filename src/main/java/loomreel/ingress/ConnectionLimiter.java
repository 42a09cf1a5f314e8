package loomreel.ingress;

import java.util.Optional;
import loomreel.io.Acceptor;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Limits the number of open client connections, because each connection occupies a file descriptor.
 * {@link #setCapacity} sets the limit. Before the limit is reached, evicts connections that are
 * unproven or idle; {@link ConnectionRegistry} defines these categories. Evicted connections are
 * closed gracefully, so that clients do not lose responses that they have not read yet.
 *
 * <p>If the limit is reached nevertheless, closes one connection without waiting for its client.
 * This is the oldest half-closed connection or, if no connection is half-closed, the oldest
 * unproven connection. If this connection is in its grace period ({@link #GRACE_PERIOD_MICROS}), or
 * if no connection is half-closed or unproven, accepting is paused instead.
 */
final class ConnectionLimiter {
  /**
   * The grace period of unproven and half-closed connections, in microseconds.
   *
   * <ul>
   *   <li>The grace period of an unproven connection begins when the connection is accepted. During
   *       this period, the limiter does not close the connection for being unproven, because its
   *       first request may not have been read yet. However, an unproven connection is idle after a
   *       readiness check has been answered on it. While the connection is idle, it may be closed
   *       before the end of the grace period, like any other idle connection.
   *   <li>The grace period of a half-closed connection begins when its output is shut down. During
   *       this period, the limiter does not close the connection.
   * </ul>
   */
  static final long GRACE_PERIOD_MICROS = 100_000;

  /**
   * The fraction of the maximum number of connections that is protected for proven connections, on
   * which a job or a job status update has arrived. While the proven connections do not exceed this
   * fraction, unproven connections are evicted before idle connections.
   */
  private static final double PROVEN_FRACTION = 0.5;

  /**
   * The maximum fraction of the file descriptors that idle connections may hold. The fraction
   * refers to all descriptors that this process may use for HTTP, of which a third is meant for
   * clients. Clients may send one request on each connection and leave the connection open. A
   * descriptor that an idle connection holds is not available for a new connection, on which a
   * client submits its next job.
   */
  private static final double MAX_IDLE_FRACTION = 1 / 8.0;

  /** The lower bound of the maximum number of idle connections. */
  private static final int MIN_IDLE_LIMIT = 4;

  /**
   * The fraction of the maximum number of connections that is kept free, so that clients have time
   * to close their side of a connection whose output was shut down by the dispatcher.
   */
  private static final double RESERVED_FRACTION = 1 / 16.0;

  private final EventLoop loop;
  private final ConnectionRegistry registry;
  private final Acceptor acceptor;
  private final RateLimitedLogger log;

  /** The maximum number of open connections. */
  private int maxConnections = Integer.MAX_VALUE;

  /** The maximum number of idle connections. */
  private int maxIdle = Integer.MAX_VALUE;

  private int evictedUnprovenCount;
  private int evictedIdleCount;

  ConnectionLimiter(
      EventLoop loop, ConnectionRegistry registry, Acceptor acceptor, RateLimitedLogger log) {
    this.loop = loop;
    this.registry = registry;
    this.acceptor = acceptor;
    this.log = log;
  }

  /**
   * Sets the limits. If connections are currently being accepted, also enforces the limits.
   *
   * @param newMaxConnections the maximum number of open connections
   * @param grantedDescriptors the number of file descriptors that this process may use for HTTP,
   *     which include the descriptors of connections to workers; idle client connections may hold
   *     {@link #MAX_IDLE_FRACTION} of these descriptors, but at least {@link #MIN_IDLE_LIMIT}
   */
  void setCapacity(int newMaxConnections, int grantedDescriptors) {
    maxConnections = newMaxConnections;
    maxIdle = (int) Math.max(MIN_IDLE_LIMIT, grantedDescriptors * MAX_IDLE_FRACTION);
    if (acceptor.isAccepting()) {
      evictExcess();
    }
  }

  /**
   * Evicts connections until {@link #RESERVED_FRACTION} of the maximum number of connections is
   * free, where half-closed connections count as free, or until no further connection may be
   * evicted. If the maximum number of connections is open nevertheless, half-closed connections
   * included, closes one connection without waiting for its client, or pauses accepting. Must be
   * called after each accept.
   */
  void evictExcess() {
    int reserved = (int) Math.max(1, maxConnections * RESERVED_FRACTION);
    int excess = registry.activeCount() - maxConnections + reserved;
    while (excess > 0) {
      Optional<ClientConnection> evictable = pollEvictable();
      if (evictable.isEmpty()) {
        break;
      }
      evictable.get().closeIfIdle(ClientConnection.PartialRequest.REJECT);
      excess--;
    }
    if (registry.openCount() >= maxConnections) {
      closeOldestOrPause();
    }
  }

  private void closeOldestOrPause() {
    Optional<ConnectionRegistry.Timed> oldest =
        registry.oldestHalfClosed().or(registry::oldestUnproven);
    if (oldest.isEmpty()) {
      log.warn("connection limit reached, accepting paused max_connections=" + maxConnections);
      acceptor.pause(Acceptor.RETRY_DELAY_MICROS);
      return;
    }
    long waitMicros = oldest.get().since() + GRACE_PERIOD_MICROS - loop.now();
    if (waitMicros > 0) {
      acceptor.pause(waitMicros);
    } else {
      oldest.get().connection().close();
    }
  }

  /**
   * Selects the next connection to evict, and removes it from the unproven or the idle connections
   * of the registry.
   *
   * <p>Normally the oldest unproven connection is selected. Clients that open many connections
   * therefore do not displace clients that send jobs or workers that send status updates. During
   * its grace period, a connection is not selected for being unproven, because its first request
   * may not have been read yet.
   *
   * <p>If the proven connections exceed {@link #PROVEN_FRACTION}, or if no connection is unproven,
   * the connection that has been idle longest is selected instead, provided that any connection is
   * idle. This rule gives new connections time to send a request.
   *
   * @return the selected connection, or empty if no connection may be evicted
   */
  private Optional<ClientConnection> pollEvictable() {
    if (registry.idleCount() > 0 && (registry.unprovenCount() == 0 || provenExceedFraction())) {
      return Optional.of(pollLongestIdle());
    }
    Optional<ClientConnection> oldest =
        registry
            .oldestUnproven()
            .filter(timed -> timed.since() + GRACE_PERIOD_MICROS <= loop.now())
            .map(ConnectionRegistry.Timed::connection);
    oldest.ifPresent(
        connection -> {
          // This only removes the connection from the unproven connections, so that it is not
          // selected again.
          registry.markProven(connection);
          evictedUnprovenCount++;
        });
    return oldest;
  }

  private boolean provenExceedFraction() {
    return registry.activeCount() - registry.unprovenCount() > maxConnections * PROVEN_FRACTION;
  }

  private ClientConnection pollLongestIdle() {
    evictedIdleCount++;
    return registry.pollLongestIdle();
  }

  /**
   * If the number of idle connections exceeds the maximum, removes the connection that has been
   * idle longest from the idle connections and returns it. Otherwise returns empty.
   */
  Optional<ClientConnection> pollExcessIdle() {
    return registry.idleCount() > maxIdle ? Optional.of(pollLongestIdle()) : Optional.empty();
  }

  /** Returns the number of unproven connections that were evicted since the start. */
  int evictedUnprovenCount() {
    return evictedUnprovenCount;
  }

  /** Returns the number of idle connections that were evicted since the start. */
  int evictedIdleCount() {
    return evictedIdleCount;
  }
}
