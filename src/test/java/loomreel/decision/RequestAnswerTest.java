package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static loomreel.decision.DispatcherHarness.actionsOf;
import static loomreel.decision.DispatcherHarness.attempts;
import static loomreel.decision.DispatcherHarness.onlyAttempt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loomreel.decision.Action.CancelAttempt;
import loomreel.decision.Action.Fail;
import loomreel.decision.Action.Reject;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Event.RequestCancelled;
import loomreel.decision.Settings.LoadReporting;
import loomreel.decision.Settings.Tenant;
import org.junit.jupiter.api.Test;

/**
 * Tests when the policy rejects a request or fails it. Also tests that the policy takes no further
 * action for a request that has failed or was cancelled.
 */
class RequestAnswerTest {
  @Test
  void aRequestWhoseAttemptDoesNotEndFailsOnceByItsDeadline() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);
    List<Action> arrivalActions =
        dispatcher.arrive("a", "key", DispatcherHarness.NON_IDEMPOTENT_CLASS);
    long deadline = dispatcher.nowMicros + 10 * SECOND;

    List<Action> laterActions = dispatcher.fireTimers(arrivalActions, deadline + SECOND);
    List<Action> actionsAfterAnswer =
        dispatcher.endAttempt(
            "a", 0, onlyAttempt(arrivalActions).workerId(), AttemptOutcome.CANCELLED);

    assertEquals(1, actionsOf(Fail.class, laterActions).size());
    assertTrue(attempts(laterActions).isEmpty(), "work that may have run is not repeated");
    assertTrue(actionsAfterAnswer.isEmpty());
  }

  /**
   * Verifies that a request is rejected at once if it arrives after its latency objective. The
   * request belongs to {@link DispatcherHarness#IDEMPOTENT_CLASS}, in which an answer after the
   * latency objective has no value. The class has a deadline of 10 s. The client marked the request
   * as a retry, and the deadline of the request is in 5 s. Therefore, the client made its first
   * attempt 5 s ago. The latency objective was 3 s after the first attempt, because it is 1 s plus
   * twice the work of the job, and the work is 1 s.
   */
  @Test
  void aRequestThatArrivesTooLateIsRejectedAtOnce() {
    DispatcherHarness dispatcher = new DispatcherHarness();
    long classDeadlineMicros =
        DispatcherHarness.CLASSES.get(DispatcherHarness.IDEMPOTENT_CLASS).deadline();
    long deadline = dispatcher.nowMicros + classDeadlineMicros - 5 * SECOND;

    List<Action> actions =
        dispatcher.handle(
            new RequestArrived(
                "late", "key", 1, DispatcherHarness.IDEMPOTENT_CLASS, -1, deadline, true, SECOND));

    assertEquals(
        List.of(new Reject("late", SECOND, RejectionReason.ARRIVED_TOO_LATE)),
        actions,
        "the latency objective has passed, so an answer is worthless");
  }

  @Test
  void aRequestWithoutAWorkerIsRejectedLongBeforeItsDeadline() {
    DispatcherHarness dispatcher = new DispatcherHarness();
    List<Action> arrivalActions = dispatcher.arrive("a", "key", DispatcherHarness.IDEMPOTENT_CLASS);

    List<Action> laterActions =
        dispatcher.fireTimers(arrivalActions, dispatcher.nowMicros + 3 * SECOND);

    assertEquals(
        List.of(new Reject("a", SECOND, RejectionReason.NO_ELIGIBLE_WORKER)),
        actionsOf(Reject.class, laterActions));
    // The clock of the harness starts at 100 s, so the deadline of the request is at 110 s.
    assertTrue(
        dispatcher.nowMicros < 105 * SECOND, "the clock is long before the client's deadline");
  }

  @Test
  void aRetryThatArrivesTooLateDoesNotCountAgainstTheQuotaOfItsTenant() {
    Settings settings =
        DispatcherHarness.settings(1, true, false, LoadReporting.WITH_ANSWERS, false).toBuilder()
            .tenants(List.of(new Tenant("t", 1)))
            .build();
    DispatcherHarness dispatcher = new DispatcherHarness(settings, 7);
    for (int i = 0; i < 50; i++) {
      dispatcher.handle(
          new RequestArrived(
              "late" + i,
              "key",
              1,
              DispatcherHarness.IDEMPOTENT_CLASS,
              0,
              dispatcher.nowMicros + SECOND,
              true,
              SECOND));
    }

    List<Action> actions =
        dispatcher.handle(
            new RequestArrived(
                "a",
                "key",
                1,
                DispatcherHarness.IDEMPOTENT_CLASS,
                0,
                dispatcher.nowMicros + 10 * SECOND,
                false,
                SECOND));

    assertTrue(
        actionsOf(Reject.class, actions).isEmpty(),
        "the request is within the quota, so it may wait for a worker");
  }

  @Test
  void aCancelledRequestIsNotRetried() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);
    List<Action> arrivalActions = dispatcher.arrive("a", "key", DispatcherHarness.IDEMPOTENT_CLASS);

    List<Action> cancellationActions = dispatcher.handle(new RequestCancelled("a"));
    List<Action> actionsAfterAttemptEnd =
        dispatcher.endAttempt(
            "a", 0, onlyAttempt(arrivalActions).workerId(), AttemptOutcome.REJECTED);

    assertEquals(1, actionsOf(CancelAttempt.class, cancellationActions).size());
    assertTrue(actionsAfterAttemptEnd.isEmpty());
    assertTrue(dispatcher.fireTimers(arrivalActions, dispatcher.nowMicros + 20 * SECOND).isEmpty());
  }
}
