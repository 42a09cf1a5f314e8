package loomreel.ingress;

import java.util.Optional;
import loomreel.io.Acceptor;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Limits the number of client connections to the file descriptors that are granted to them. Evicts
 * unproven and idle connections before the limit is reached, and pauses accepting at the limit. A
 * connection is unproven until it has sent a job or a job status update.
 *
 * <p>Evicted connections are closed gracefully, so that responses that are still unread are not
 * lost. Only at the limit, the oldest half-closed or unproven connection is closed at once.
 */
final class ConnectionLimiter {
  /**
   * The grace period of a new connection, in microseconds. During this time an unproven connection
   * is not evicted, because its first request may not have been read yet. A half-closed connection
   * has the same time before it may be closed at once.
   */
  static final long UNPROVEN_GRACE_MICROS = 100_000;

  /**
   * The fraction of the maximum number of connections that is protected for proven connections.
   * While proven connections do not exceed this fraction, unproven connections are evicted first.
   */
  private static final double PROVEN_FRACTION = 0.5;

  /**
   * The maximum fraction of the granted descriptors that idle connections may hold. Clients may
   * send one request on each connection and leave the connection open. A third of the descriptors
   * is meant for clients, and descriptors of idle connections are not available to their next jobs.
   */
  private static final double MAX_IDLE_FRACTION = 1 / 8.0;

  /** The lower bound of the maximum number of idle connections. */
  private static final int MIN_IDLE_LIMIT = 4;

  /**
   * The fraction of the maximum number of connections that is kept free, so that clients have time
   * to close their side of a connection that was shut down.
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
   * Sets the limits, and enforces them unless accepting is paused or stopped.
   *
   * @param newMaxConnections the maximum number of open connections
   * @param grantedDescriptors the number of descriptors of the process, a fraction of which may be
   *     used by idle connections
   */
  void setCapacity(int newMaxConnections, int grantedDescriptors) {
    maxConnections = newMaxConnections;
    maxIdle = (int) Math.max(MIN_IDLE_LIMIT, grantedDescriptors * MAX_IDLE_FRACTION);
    if (acceptor.isAccepting()) {
      evictExcess();
    }
  }

  /**
   * Evicts connections until the reserved number is free or no further connection may be evicted.
   * At the maximum number of connections, closes one at once or pauses accepting. Must be called
   * after each accept.
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
    long waitMicros = oldest.get().since() + UNPROVEN_GRACE_MICROS - loop.now();
    if (waitMicros > 0) {
      acceptor.pause(waitMicros);
    } else {
      oldest.get().connection().close();
    }
  }

  /**
   * Removes the next connection to evict from its category and returns it.
   *
   * <p>Normally this is the oldest unproven connection, so that clients that open many connections
   * do not displace those that send jobs and status updates. An unproven connection is not evicted
   * during its grace period, since its first request may not have been read yet. If proven
   * connections exceed their fraction, or no connection is unproven, the connection that has been
   * idle longest is evicted instead, if there is one. This gives new connections time to send a
   * request.
   */
  private Optional<ClientConnection> pollEvictable() {
    if (registry.idleCount() > 0 && (registry.unprovenCount() == 0 || provenExceedFraction())) {
      return Optional.of(pollLongestIdle());
    }
    Optional<ClientConnection> oldest =
        registry
            .oldestUnproven()
            .filter(timed -> timed.since() + UNPROVEN_GRACE_MICROS <= loop.now())
            .map(ConnectionRegistry.Timed::connection);
    oldest.ifPresent(
        connection -> {
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
   * Removes and returns the connection that has been idle longest, if the number of idle
   * connections exceeds its maximum.
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
