package loomreel.wal;

import java.util.ArrayDeque;

/** Actions that run in order, each once a log is synced up to its position. For one thread. */
final class SyncWaiters {
  private record Waiter(long position, Runnable action) {}

  private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
  private long syncedPosition;

  /** Runs an action once the log is synced up to a position, at once if it is. */
  void runWhenSynced(long position, Runnable action) {
    if (position <= syncedPosition) {
      action.run();
    } else {
      waiters.add(new Waiter(position, action));
    }
  }

  /** Runs the actions up to the position to which the log is synced now. */
  void synced(long position) {
    syncedPosition = position;
    while (!waiters.isEmpty() && waiters.peek().position() <= position) {
      waiters.poll().action().run();
    }
  }
}
