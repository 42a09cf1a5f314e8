package loomreel.io;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The connections whose peers keep pooled buffers occupied: those that have sent a part of a
 * request, and those that do not read their responses. While buffers are scarce, the connection
 * that has been stalled longest is evicted, so that slow peers cannot take the buffers of others: a
 * peer that sends and reads at once is never the one that has been stalled longest.
 *
 * <p>Used on the event loop's thread only. Does not own the connections.
 */
public final class StalledConnections {
  /** What happens to a stalled connection while buffers are scarce. */
  public enum Eviction {
    /** It is evicted while buffers are scarce. */
    WHEN_SCARCE,
    /** It is evicted only where no other connection is left and buffers are exhausted. */
    WHEN_EXHAUSTED
  }

  private final BufferPool pool;

  /** In the order in which they stalled. */
  private final Set<ByteConnection> evictedWhenScarce = new LinkedHashSet<>();

  /** In the order in which they stalled. */
  private final Set<ByteConnection> evictedWhenExhausted = new LinkedHashSet<>();

  StalledConnections(BufferPool pool) {
    this.pool = pool;
  }

  /** Adds a connection that is stalled from now on. Has no effect if it is stalled already. */
  public void add(ByteConnection connection, Eviction eviction) {
    switch (eviction) {
      case WHEN_SCARCE -> evictedWhenScarce.add(connection);
      case WHEN_EXHAUSTED -> evictedWhenExhausted.add(connection);
    }
  }

  /** Removes a connection that is not stalled any more. Has no effect if it is not stalled. */
  public void remove(ByteConnection connection) {
    evictedWhenScarce.remove(connection);
    evictedWhenExhausted.remove(connection);
  }

  /**
   * Evicts connections until buffers are not scarce, or no connection may be evicted. Must not be
   * called while a connection handles its input.
   */
  void evictExcess() {
    while (pool.isScarce() && !evictedWhenScarce.isEmpty()) {
      evictFirst(evictedWhenScarce);
    }
    while (pool.isExhausted() && !evictedWhenExhausted.isEmpty()) {
      evictFirst(evictedWhenExhausted);
    }
  }

  private static void evictFirst(Set<ByteConnection> connections) {
    Iterator<ByteConnection> iterator = connections.iterator();
    ByteConnection first = iterator.next();
    iterator.remove();
    first.evict();
  }
}
