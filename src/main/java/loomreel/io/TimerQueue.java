package loomreel.io;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * The timers of an event loop, in the order in which they run. Used on the event loop's thread
 * only.
 */
final class TimerQueue {
  private final PriorityQueue<EventLoop.Timer> timers = new PriorityQueue<>();
  private long nextSequenceNumber;

  /**
   * Adds a timer.
   *
   * @param dueAtMicros the earliest time at which the task runs, in microseconds of the loop's
   *     clock
   */
  EventLoop.Timer schedule(long dueAtMicros, Runnable task) {
    EventLoop.Timer timer = new EventLoop.Timer(dueAtMicros, nextSequenceNumber++, task);
    timers.add(timer);
    return timer;
  }

  /** Removes the cancelled timers that precede the first timer that is not cancelled. */
  void removeCancelled() {
    while (!timers.isEmpty() && timers.peek().isCancelled()) {
      timers.poll();
    }
  }

  boolean isEmpty() {
    return timers.isEmpty();
  }

  /**
   * Returns the due time of the first timer, even if it is cancelled. The queue must not be empty.
   */
  long firstDueAtMicros() {
    return timers.peek().dueAtMicros();
  }

  /**
   * Runs the tasks of the timers that are due. If one of these tasks schedules a timer, that timer
   * waits for the next call. Otherwise a task that always reschedules itself would prevent the
   * handling of channels.
   *
   * @param now the current time, in microseconds of the loop's clock
   * @param runner called with each of the tasks, and runs it
   */
  void runDue(long now, Consumer<Runnable> runner) {
    long sequenceLimit = nextSequenceNumber;
    while (!timers.isEmpty() && timers.peek().isDue(now, sequenceLimit)) {
      EventLoop.Timer timer = timers.poll();
      if (!timer.isCancelled()) {
        runner.accept(timer.task());
      }
    }
  }
}
