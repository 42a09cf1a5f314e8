package loomreel.http;

import java.util.ArrayDeque;

/**
 * Limits the total number of open connections of several {@link ConnectionPool}s. At the limit, the
 * connection that has been idle longest in any of the pools is closed so that a new one can be
 * opened. Used on the event loop's thread only.
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
   * Changes the limit. While more connections are open, idle ones are closed at once and those in
   * use when they become idle.
   */
  public void setLimit(int newLimit) {
    limit = newLimit;
    while (openCount > limit && !idleConnections.isEmpty()) {
      idleConnections.peekFirst().close();
    }
  }

  /**
   * Returns whether a connection may be opened. If the limit is reached, first closes the
   * connection that has been idle longest, if there is one.
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
