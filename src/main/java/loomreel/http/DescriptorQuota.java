package loomreel.http;

import java.util.ArrayDeque;

/**
 * Limits the open connections of several {@link ConnectionPool}s together. At the limit, the
 * connection that has been idle longest, in any pool, is closed in favour of a new one. Used on the
 * event loop's thread only.
 */
public final class DescriptorQuota {
  private int limit;
  private int openCount;

  /** The idle connections of all pools, the longest idle first. */
  private final ArrayDeque<PooledConnection> idleConnections = new ArrayDeque<>();

  /** Creates a quota of that many connections. */
  public DescriptorQuota(int limit) {
    this.limit = limit;
  }

  /** Changes the limit; connections in use beyond it are closed when they become idle. */
  public void setLimit(int newLimit) {
    limit = newLimit;
    while (openCount > limit && !idleConnections.isEmpty()) {
      idleConnections.peekFirst().close();
    }
  }

  /** Whether a connection may be opened; closes an idle one if necessary. */
  boolean ensureCapacity() {
    if (openCount >= limit && !idleConnections.isEmpty()) {
      idleConnections.peekFirst().close();
    }
    return openCount < limit;
  }

  /** Whether more connections are open than the limit allows. */
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
