package loomreel.ingress;

import java.util.Optional;
import loomreel.io.Acceptor;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Keeps the number of client connections within the file descriptors that are granted: evicts
 * unproven and idle connections before the limit is reached, and pauses accepting at the limit.
 *
 * <p>Connections are shut down gracefully, so that a response that is still unread is not lost;
 * only at the limit the oldest one is closed at once.
 */
final class ConnectionLimiter {
  /** How long a new connection has for its first request, in microseconds. */
  static final long UNPROVEN_GRACE_MICROS = 100_000;

  /** The fraction of the connections that unproven ones cannot evict proven ones from. */
  private static final double PROVEN_FRACTION = 0.5;

  /**
   * The fraction of all descriptors that idle connections may hold. Clients may send one request on
   * each connection and leave it open; a third of the descriptors is for them, and those of idle
   * connections are not available to their next jobs.
   */
  private static final double MAX_IDLE_FRACTION = 1 / 8.0;

  private static final int MIN_IDLE_LIMIT = 4;

  /**
   * The fraction of the connections that stays free, so that clients have the time to close their
   * side of a connection that was shut down.
   */
  private static final double RESERVED_FRACTION = 1 / 16.0;

  private final EventLoop loop;
  private final ConnectionRegistry registry;
  private final Acceptor acceptor;
  private final RateLimitedLogger log;
  private int maxConnections = Integer.MAX_VALUE;
  private int maxIdle = Integer.MAX_VALUE;
  private int unprovenEvicted;
  private int idleEvicted;

  ConnectionLimiter(
      EventLoop loop, ConnectionRegistry registry, Acceptor acceptor, RateLimitedLogger log) {
    this.loop = loop;
    this.registry = registry;
    this.acceptor = acceptor;
    this.log = log;
  }

  /** Sets the limits and enforces them, unless accepting is paused or stopped. */
  void setCapacity(int connections, int grantedDescriptors) {
    maxConnections = connections;
    maxIdle = (int) Math.max(MIN_IDLE_LIMIT, grantedDescriptors * MAX_IDLE_FRACTION);
    if (acceptor.isAccepting()) {
      evictExcess();
    }
  }

  /** Evicts connections while fewer than the reserved ones are free; called after each accept. */
  void evictExcess() {
    int reserved = (int) Math.max(1, maxConnections * RESERVED_FRACTION);
    int excess = registry.activeCount() - maxConnections + reserved;
    while (excess > 0) {
      Optional<ClientConnection> victim = pollEvictable();
      if (victim.isEmpty()) {
        break;
      }
      victim.get().closeIfIdle(ClientConnection.PartialRequest.REJECT);
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
   * Removes and returns the connection to evict next: the oldest unproven one, unless its first
   * request may just be unread. Clients that open many connections must not displace those that
   * send jobs and status updates. Where the proven ones exceed their fraction, it is the longest
   * idle one, so that new connections have the time to prove themselves.
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
          unprovenEvicted++;
        });
    return oldest;
  }

  private boolean provenExceedFraction() {
    return registry.activeCount() - registry.unprovenCount() > maxConnections * PROVEN_FRACTION;
  }

  private ClientConnection pollLongestIdle() {
    idleEvicted++;
    return registry.pollLongestIdle();
  }

  /** Removes and returns the longest idle connection if there are more than the limit allows. */
  Optional<ClientConnection> pollExcessIdle() {
    return registry.idleCount() > maxIdle ? Optional.of(pollLongestIdle()) : Optional.empty();
  }

  /** How many unproven connections were evicted since the start. */
  int unprovenEvicted() {
    return unprovenEvicted;
  }

  /** How many idle connections were evicted since the start. */
  int idleEvicted() {
    return idleEvicted;
  }
}
