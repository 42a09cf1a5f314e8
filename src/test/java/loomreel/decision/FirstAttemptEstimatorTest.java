package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;
import org.junit.jupiter.api.Test;

/** A request with little time is either a client's retry or from a client that gives up early. */
class FirstAttemptEstimatorTest {
  private static final long NOW = 100 * SECOND;
  private static final double TIME_CONSTANT = 10e6;
  private static final RequestClass READ = DispatcherHarness.CLASSES.get(DispatcherHarness.READ);

  private static RequestArrived arrival(long remaining, boolean isRetry) {
    return new RequestArrived(
        "r", null, 1, DispatcherHarness.READ, -1, NOW + remaining, isRetry, Double.NaN);
  }

  private static long firstAttemptAt(
      FirstAttemptEstimator estimator, long remaining, boolean isRetry) {
    return estimator.firstAttemptAt(arrival(remaining, isRetry), READ, NOW);
  }

  @Test
  void theMarkDecidesWhereClientsMarkTheirRetries() {
    FirstAttemptEstimator estimator = new FirstAttemptEstimator(true, TIME_CONSTANT);
    for (long remaining : new long[] {SECOND / 4, 6 * SECOND, READ.deadline()}) {
      assertEquals(NOW, firstAttemptAt(estimator, remaining, false));
      assertEquals(NOW + remaining - READ.deadline(), firstAttemptAt(estimator, remaining, true));
    }
  }

  @Test
  void withoutMarksMostOfTheTimeIndicatesARetryAndLittleAnImpatientClient() {
    FirstAttemptEstimator estimator = new FirstAttemptEstimator(false, TIME_CONSTANT);

    assertEquals(NOW, firstAttemptAt(estimator, READ.deadline(), false));
    assertEquals(NOW - 2 * SECOND, firstAttemptAt(estimator, READ.deadline() - 2 * SECOND, false));
    assertEquals(NOW, firstAttemptAt(estimator, SECOND / 4, false));
  }

  @Test
  void afterManyRejectionsLittleTimeIndicatesARetry() {
    FirstAttemptEstimator estimator = new FirstAttemptEstimator(false, TIME_CONSTANT);
    for (int i = 0; i < 10; i++) {
      assertEquals(NOW, firstAttemptAt(estimator, SECOND, false));
    }

    for (int i = 0; i < 10; i++) {
      estimator.recordRejection(RejectionReason.NO_CAPACITY_IN_TIME, NOW);
      estimator.recordRejection(RejectionReason.ARRIVED_TOO_LATE, NOW);
    }

    assertEquals(NOW + SECOND - READ.deadline(), firstAttemptAt(estimator, SECOND, false));
  }

  /** Through the policy: a client that waits for a quarter of a second of ten is not too late. */
  @Test
  void aClientThatGivesUpEarlyIsServed() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(4);
    long deadline = dispatcher.now + SECOND / 4;

    List<Action> actions =
        dispatcher.handle(
            new RequestArrived(
                "a", "key", 1, DispatcherHarness.READ, -1, deadline, false, Double.NaN));

    assertEquals(1, DispatcherHarness.attempts(actions).size());
  }
}
