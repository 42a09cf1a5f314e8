package loomreel.io;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/** The timers of an event loop, in the order in which they run. For the loop's thread only. */
final class TimerQueue {
  private final PriorityQueue<EventLoop.Timer> timers = new PriorityQueue<>();
  private long nextSequence;

  /** Adds a timer. */
  EventLoop.Timer schedule(long dueAt, Runnable task) {
    EventLoop.Timer timer = new EventLoop.Timer(dueAt, nextSequence++, task);
    timers.add(timer);
    return timer;
  }

  /** Removes cancelled timers from the front. */
  void removeCancelled() {
    while (!timers.isEmpty() && timers.peek().isCancelled()) {
      timers.poll();
    }
  }

  boolean isEmpty() {
    return timers.isEmpty();
  }

  /** When the first timer is due, a cancelled one included; the queue must not be empty. */
  long firstDueAt() {
    return timers.peek().dueAt();
  }

  /**
   * Runs the tasks that are due. Timers that these tasks schedule wait for the next call, so that
   * one that reschedules itself cannot starve the sockets.
   */
  void runDue(long now, Consumer<Runnable> runner) {
    long endSequence = nextSequence;
    while (!timers.isEmpty() && timers.peek().isDue(now, endSequence)) {
      EventLoop.Timer timer = timers.poll();
      if (!timer.isCancelled()) {
        runner.accept(timer.task());
      }
    }
  }
}
