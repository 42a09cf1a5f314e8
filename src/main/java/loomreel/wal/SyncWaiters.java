package loomreel.wal;

import java.util.ArrayDeque;

/**
 * Actions that wait for the sync of a log. Each action has a position of the log. The action runs
 * once the log is synced up to this position. The waiting actions run in the order in which they
 * were added. Used on one thread only.
 */
final class SyncWaiters {
  private record Waiter(long position, Runnable action) {}

  private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
  private long syncedPosition;

  /**
   * Runs an action once the log is synced up to a position. If the log is already synced up to this
   * position, runs the action at once.
   */
  void runWhenSynced(long position, Runnable action) {
    if (position <= syncedPosition) {
      action.run();
    } else {
      waiters.add(new Waiter(position, action));
    }
  }

  /** Records that the log is synced up to a position, and runs the actions that can run now. */
  void synced(long position) {
    syncedPosition = position;
    while (!waiters.isEmpty() && waiters.peek().position() <= position) {
      waiters.poll().action().run();
    }
  }
}
