package loomreel.io;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * The timers of an event loop, in the order in which they run. Used on the event loop's thread
 * only.
 */
final class TimerQueue {
  /** The number of cancelled timers below which none of them is removed before its turn. */
  private static final int MIN_CANCELLED_TO_REMOVE = 1024;

  private final PriorityQueue<EventLoop.Timer> timers = new PriorityQueue<>();

  /** The number of cancelled timers in the queue. */
  private int cancelledCount;

  private long nextSequenceNumber;

  /**
   * Adds a timer.
   *
   * @param dueAtMicros the earliest time at which the task runs, in microseconds of the loop's
   *     clock
   */
  EventLoop.Timer schedule(long dueAtMicros, Runnable task) {
    EventLoop.Timer timer = new EventLoop.Timer(this, dueAtMicros, nextSequenceNumber++, task);
    timers.add(timer);
    return timer;
  }

  /** Removes the cancelled timers that precede the first timer that is not cancelled. */
  void removeCancelled() {
    while (!timers.isEmpty() && timers.peek().isDone()) {
      timers.poll();
      cancelledCount--;
    }
  }

  /**
   * Called when a timer of this queue is cancelled. Removes all cancelled timers if they are many
   * and the greater part of the queue: those that are due much later would fill the memory.
   */
  void cancelled() {
    cancelledCount++;
    if (cancelledCount > MIN_CANCELLED_TO_REMOVE && cancelledCount > timers.size() / 2) {
      timers.removeIf(EventLoop.Timer::isDone);
      cancelledCount = 0;
    }
  }

  /** Returns the number of timers that are held, including cancelled ones. */
  int size() {
    return timers.size();
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
      Runnable task = timers.poll().takeTask();
      if (task == null) {
        cancelledCount--;
      } else {
        runner.accept(task);
      }
    }
  }
}
