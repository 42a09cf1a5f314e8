package loomreel.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which timers a {@link TimerQueue} holds. */
class TimerQueueTest {
  private static final long SOON = 1_000;
  private static final long MUCH_LATER = 1_000_000_000_000L;
  private final TimerQueue timers = new TimerQueue();

  /** Guards against cancelled timers that fill the memory until they would have been due. */
  @Test
  void cancelledTimersThatAreDueMuchLaterAreRemoved() {
    for (int i = 0; i < 100_000; i++) {
      timers.schedule(MUCH_LATER, () -> {}).cancel();
    }
    assertTrue(timers.size() < 3_000, timers.size() + " timers");
  }

  @Test
  void theOtherTimersRunAndLateCancelsDoNotCount() {
    List<String> ran = new ArrayList<>();
    EventLoop.Timer first = timers.schedule(SOON, () -> ran.add("first"));
    timers.schedule(SOON + 1, () -> ran.add("second"));
    for (int i = 0; i < 5_000; i++) {
      timers.schedule(MUCH_LATER, () -> {}).cancel();
    }
    timers.runDue(SOON, Runnable::run);
    first.cancel();
    timers.runDue(MUCH_LATER, Runnable::run);
    assertEquals(List.of("first", "second"), ran);
    assertTrue(timers.isEmpty());
  }
}
