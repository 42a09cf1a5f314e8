package loomreel.http;

import java.util.ArrayDeque;

/**
 * Limits the total number of open connections of several {@link ConnectionPool}s. If the limit is
 * reached when a connection is to be opened, the quota closes the connection that has been idle
 * longest in any of the pools. Used on the event loop's thread only.
 */
public final class DescriptorQuota {
  private int limit;
  private int openCount;

  /** The idle connections of all pools, ordered by the time at which they became idle. */
  private final ArrayDeque<PooledConnection> idleConnections = new ArrayDeque<>();

  /**
   * Creates a quota.
   *
   * @param limit the maximum number of open connections
   */
  public DescriptorQuota(int limit) {
    this.limit = limit;
  }

  /**
   * Changes the limit. If more connections are open than the new limit allows, closes idle
   * connections until the number is within the limit or no idle connection is left. While the
   * number still exceeds the limit, connections in use are closed when they become idle.
   *
   * @param newLimit the maximum number of open connections
   */
  public void setLimit(int newLimit) {
    limit = newLimit;
    while (openCount > limit && !idleConnections.isEmpty()) {
      idleConnections.peekFirst().close();
    }
  }

  /**
   * Returns whether a connection may be opened. If the limit is reached and a connection is idle,
   * first closes the connection that has been idle longest.
   */
  boolean ensureCapacity() {
    if (openCount >= limit && !idleConnections.isEmpty()) {
      idleConnections.peekFirst().close();
    }
    return openCount < limit;
  }

  /** Returns whether more connections are open than the limit allows. */
  boolean isExceeded() {
    return openCount > limit;
  }

  void connectionOpened() {
    openCount++;
  }

  void connectionIdle(PooledConnection connection) {
    idleConnections.addLast(connection);
  }

  void connectionReused(PooledConnection connection) {
    idleConnections.remove(connection);
  }

  void connectionClosed(PooledConnection connection) {
    openCount--;
    idleConnections.remove(connection);
  }
}
