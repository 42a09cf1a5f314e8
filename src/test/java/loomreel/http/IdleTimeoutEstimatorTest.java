package loomreel.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how resets change the idle timeout, and how duplicate responses change the reuse delay. */
class IdleTimeoutEstimatorTest {
  private static final long SECOND = 1_000_000;
  private static final long MAX_IDLE_MICROS = 60 * SECOND;

  private final IdleTimeoutEstimator estimator = new IdleTimeoutEstimator(MAX_IDLE_MICROS);

  /**
   * A duplicate of a response arrives some milliseconds after the response. The connection must not
   * be reused before the duplicate has arrived.
   */
  @Test
  void connectionsAreReusedLaterWhileDuplicateResponsesAreSuspected() {
    assertEquals(0, estimator.reuseDelayMicros(SECOND));
    estimator.recordUnsolicitedResponse(SECOND);
    assertTrue(estimator.reuseDelayMicros(SECOND) >= 10_000);
    assertTrue(estimator.reuseDelayMicros(5 * SECOND) >= 10_000);
    assertEquals(0, estimator.reuseDelayMicros(60 * SECOND), "duplicates are no longer suspected");
  }

  @Test
  void threeResetsShortenTheTimeout() {
    for (int i = 0; i < 2; i++) {
      estimator.recordReuse(8 * SECOND, true, SECOND);
    }
    assertEquals(MAX_IDLE_MICROS, estimator.idleTimeout(SECOND));

    estimator.recordReuse(8 * SECOND, true, SECOND);

    // Three quarters of the idle time before the reset.
    assertEquals(6 * SECOND, estimator.idleTimeout(SECOND));
  }

  @Test
  void aShortenedTimeoutDoublesIn20SecondsUpToItsLimit() {
    for (int i = 0; i < 3; i++) {
      estimator.recordReuse(8 * SECOND, true, 0);
    }

    // The resets shorten the timeout to 6 seconds.
    assertEquals(12 * SECOND, estimator.idleTimeout(20 * SECOND));
    assertEquals(MAX_IDLE_MICROS, estimator.idleTimeout(200 * SECOND));
  }

  @Test
  void aResetAfterAShortIdleTimeDoesNotCount() {
    for (int i = 0; i < 10; i++) {
      estimator.recordReuse(49_999, true, SECOND);
    }

    assertEquals(MAX_IDLE_MICROS, estimator.idleTimeout(SECOND));
  }

  @Test
  void successfulReusesOutweighOccasionalResets() {
    for (int i = 0; i < 10; i++) {
      estimator.recordReuse(8 * SECOND, true, SECOND);
      for (int reuse = 0; reuse < 10; reuse++) {
        estimator.recordReuse(8 * SECOND, false, SECOND);
      }
    }

    assertEquals(MAX_IDLE_MICROS, estimator.idleTimeout(SECOND));
  }
}
