package loomreel.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import loomreel.io.EventLoop;

/**
 * The timers that the policy has set. The policy does not cancel a timer of a request that has
 * ended. Such a timer may be due long after, since clients choose the deadlines of their requests,
 * so it is cancelled here once there are many.
 *
 * <p>Not thread-safe: used on the event loop's thread only.
 */
final class PolicyTimers {
  /** The number of timers below which none is looked for that is not needed any more. */
  private static final int MIN_SWEEP_SIZE = 1024;

  private record Pending(long token, EventLoop.Timer timer) {
    boolean isDone() {
      return timer.isDone();
    }
  }

  private final EventLoop loop;
  private final LongConsumer onFired;
  private final LongPredicate isAwaited;
  private final List<Pending> pending = new ArrayList<>();

  /** The number of timers at which those are cancelled that are not needed any more. */
  private int nextSweepSize = MIN_SWEEP_SIZE;

  /**
   * Creates timers of which none is set.
   *
   * @param onFired called with the token of a timer that is due
   * @param isAwaited whether the policy still handles the timers with a token
   */
  PolicyTimers(EventLoop loop, LongConsumer onFired, LongPredicate isAwaited) {
    this.loop = loop;
    this.onFired = onFired;
    this.isAwaited = isAwaited;
  }

  /** Sets a timer for a time in microseconds of the event loop's clock. */
  void set(long time, long token) {
    pending.add(new Pending(token, loop.schedule(time, () -> onFired.accept(token))));
    if (pending.size() >= nextSweepSize) {
      cancelUnneeded();
    }
  }

  private void cancelUnneeded() {
    pending.stream()
        .filter(entry -> !isAwaited.test(entry.token()))
        .forEach(entry -> entry.timer().cancel());
    pending.removeIf(Pending::isDone);
    nextSweepSize = Math.max(MIN_SWEEP_SIZE, 2 * pending.size());
  }
}
