package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;
import org.junit.jupiter.api.Test;

/**
 * Tests how {@link FirstAttemptEstimator} distinguishes the retries of clients from the first
 * attempts of clients that give up early. Both arrive with less time than the deadline of their
 * class.
 */
class FirstAttemptEstimatorTest {
  private static final long NOW_MICROS = 100 * SECOND;
  private static final double TIME_CONSTANT_MICROS = 10e6;
  private static final RequestClass IDEMPOTENT_CLASS =
      DispatcherHarness.CLASSES.get(DispatcherHarness.IDEMPOTENT_CLASS);

  /** Creates a request that arrives at {@link #NOW_MICROS} with this time until its deadline. */
  private static RequestArrived arrival(long remainingMicros, boolean isRetry) {
    return new RequestArrived(
        "r",
        null,
        1,
        DispatcherHarness.IDEMPOTENT_CLASS,
        -1,
        NOW_MICROS + remainingMicros,
        isRetry,
        Double.NaN);
  }

  private static long firstAttemptAt(
      FirstAttemptEstimator estimator, long remainingMicros, boolean isRetry) {
    return estimator.firstAttemptAt(
        arrival(remainingMicros, isRetry), IDEMPOTENT_CLASS, NOW_MICROS);
  }

  @Test
  void whenClientsMarkRetriesOnlyMarkedRequestsCountAsRetries() {
    FirstAttemptEstimator estimator = new FirstAttemptEstimator(true, TIME_CONSTANT_MICROS);
    for (long remainingMicros : new long[] {SECOND / 4, 6 * SECOND, IDEMPOTENT_CLASS.deadline()}) {
      assertEquals(NOW_MICROS, firstAttemptAt(estimator, remainingMicros, false));
      assertEquals(
          NOW_MICROS + remainingMicros - IDEMPOTENT_CLASS.deadline(),
          firstAttemptAt(estimator, remainingMicros, true));
    }
  }

  @Test
  void withoutMarksALongRemainingTimeIndicatesARetryAndAShortOneAFirstAttempt() {
    FirstAttemptEstimator estimator = new FirstAttemptEstimator(false, TIME_CONSTANT_MICROS);

    assertEquals(NOW_MICROS, firstAttemptAt(estimator, IDEMPOTENT_CLASS.deadline(), false));
    assertEquals(
        NOW_MICROS - 2 * SECOND,
        firstAttemptAt(estimator, IDEMPOTENT_CLASS.deadline() - 2 * SECOND, false));
    assertEquals(NOW_MICROS, firstAttemptAt(estimator, SECOND / 4, false));
  }

  @Test
  void afterManyRejectionsAShortRemainingTimeIndicatesARetry() {
    FirstAttemptEstimator estimator = new FirstAttemptEstimator(false, TIME_CONSTANT_MICROS);
    for (int i = 0; i < 10; i++) {
      assertEquals(NOW_MICROS, firstAttemptAt(estimator, SECOND, false));
    }

    for (int i = 0; i < 10; i++) {
      estimator.recordRejection(RejectionReason.NO_CAPACITY_IN_TIME, NOW_MICROS);
      estimator.recordRejection(RejectionReason.ARRIVED_TOO_LATE, NOW_MICROS);
    }

    assertEquals(
        NOW_MICROS + SECOND - IDEMPOTENT_CLASS.deadline(),
        firstAttemptAt(estimator, SECOND, false));
  }

  /**
   * Verifies through the whole policy that a request with 0.25 s until its deadline, of the 10 s of
   * its class, is not rejected as too late.
   */
  @Test
  void aClientThatGivesUpEarlyIsServed() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(4);
    long deadline = dispatcher.nowMicros + SECOND / 4;

    List<Action> actions =
        dispatcher.handle(
            new RequestArrived(
                "a",
                "key",
                1,
                DispatcherHarness.IDEMPOTENT_CLASS,
                -1,
                deadline,
                false,
                Double.NaN));

    assertEquals(1, DispatcherHarness.attempts(actions).size());
  }
}
