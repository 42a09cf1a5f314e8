package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;
import org.junit.jupiter.api.Test;

/**
 * Tests how {@link FirstAttemptEstimator} distinguishes the retry of a client from the first
 * attempt of a client that gives up early. On arrival, requests of both kinds have less time left
 * than the deadline of their class.
 */
class FirstAttemptEstimatorTest {
  private static final long NOW_MICROS = 100 * SECOND;
  private static final double TIME_CONSTANT_MICROS = 10e6;
  private static final RequestClass REQUEST_CLASS =
      DispatcherHarness.CLASSES.get(DispatcherHarness.IDEMPOTENT_CLASS);

  /**
   * Returns the arrival of a request at {@link #NOW_MICROS}.
   *
   * @param remainingMicros the time from the arrival to the deadline of the request
   * @param isRetry whether the client marked the request as a retry
   */
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
    return estimator.firstAttemptAt(arrival(remainingMicros, isRetry), REQUEST_CLASS, NOW_MICROS);
  }

  @Test
  void whenClientsMarkRetriesOnlyMarkedRequestsCountAsRetries() {
    FirstAttemptEstimator estimator = new FirstAttemptEstimator(true, TIME_CONSTANT_MICROS);
    for (long remainingMicros : new long[] {SECOND / 4, 6 * SECOND, REQUEST_CLASS.deadline()}) {
      assertEquals(NOW_MICROS, firstAttemptAt(estimator, remainingMicros, false));
      assertEquals(
          NOW_MICROS + remainingMicros - REQUEST_CLASS.deadline(),
          firstAttemptAt(estimator, remainingMicros, true));
    }
  }

  @Test
  void withoutMarksARequestIsARetryIfMostButNotAllOfTheClassDeadlineRemains() {
    FirstAttemptEstimator estimator = new FirstAttemptEstimator(false, TIME_CONSTANT_MICROS);

    assertEquals(NOW_MICROS, firstAttemptAt(estimator, REQUEST_CLASS.deadline(), false));
    assertEquals(
        NOW_MICROS - 2 * SECOND,
        firstAttemptAt(estimator, REQUEST_CLASS.deadline() - 2 * SECOND, false));
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
        NOW_MICROS + SECOND - REQUEST_CLASS.deadline(), firstAttemptAt(estimator, SECOND, false));
  }

  /**
   * Verifies, with a complete {@link DispatchPolicy}, that a request whose deadline is 0.25 s after
   * its arrival is not rejected as too late. The deadline of its class is 10 s, so its client gives
   * up early.
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
