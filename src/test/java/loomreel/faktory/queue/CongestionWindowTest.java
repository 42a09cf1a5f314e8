package loomreel.faktory.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How many attempts of a queue may be in flight, and when it pauses. */
class CongestionWindowTest {
  private static final long MS = 1000;
  private final CongestionWindow window = new CongestionWindow();

  @Test
  void growsByOneForAsManyServedAttemptsAsItHolds() {
    for (int i = 0; i < 16; i++) {
      window.onServed(100);
    }

    assertEquals(17, window.size(), 0.1);
  }

  @Test
  void growsNoFurtherThanTheLimit() {
    for (int i = 0; i < 10_000; i++) {
      window.onServed(20);
    }

    assertEquals(20, window.size());
  }

  @Test
  void pausesDoubleUpToTwoSecondsWhileAttemptsAreRejected() {
    long now = 0;
    for (long expectedMs : new long[] {50, 100, 200, 400, 800, 1600, 2000, 2000}) {
      window.onRejected(now);

      assertTrue(window.isPaused(now));
      assertEquals(now + expectedMs * MS, window.pausedUntil());
      now = window.pausedUntil();
      assertFalse(window.isPaused(now));
    }
  }

  @Test
  void aServedAttemptMakesTheNextPauseShortAgain() {
    window.onRejected(0);
    window.onRejected(50 * MS);
    window.onServed(100);

    window.onRejected(1000 * MS);

    assertEquals(1050 * MS, window.pausedUntil());
  }

  @Test
  void neverShrinksBelowOne() {
    for (int i = 0; i < 100; i++) {
      window.onRejected(10_000 * MS * i);
    }

    assertEquals(1, window.size());
  }
}
