package loomreel.wal;

import java.util.ArrayDeque;

/**
 * Actions that wait for the sync of a log. They run in order, each once the log is synced up to the
 * position of the action. Used on one thread only.
 */
final class SyncWaiters {
  private record Waiter(long position, Runnable action) {}

  private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
  private long syncedPosition;

  /** Runs an action once the log is synced up to a position, or at once if it already is. */
  void runWhenSynced(long position, Runnable action) {
    if (position <= syncedPosition) {
      action.run();
    } else {
      waiters.add(new Waiter(position, action));
    }
  }

  /** Records that the log is synced up to a position, and runs the actions that waited for it. */
  void synced(long position) {
    syncedPosition = position;
    while (!waiters.isEmpty() && waiters.peek().position() <= position) {
      waiters.poll().action().run();
    }
  }
}
