package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static loomreel.decision.DispatcherHarness.actionsOf;
import static loomreel.decision.DispatcherHarness.attempts;
import static loomreel.decision.DispatcherHarness.failureDomain;
import static loomreel.decision.DispatcherHarness.onlyAttempt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loomreel.decision.Action.Fail;
import loomreel.decision.Action.Reject;
import loomreel.decision.Action.StartAttempt;
import loomreel.decision.Event.AttemptProgressed;
import loomreel.decision.Event.RequestArrived;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class RetryPolicyTest {
  private static final int KEYS = 60;

  private final DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);

  /** Starts a first attempt, which runs for a tenth of a second; then it ends. */
  private List<Action> endFirstAttempt(int requestClass, AttemptOutcome outcome) {
    StartAttempt first = onlyAttempt(dispatcher.arrive("a", "key", requestClass));
    dispatcher.nowMicros += SECOND / 10;
    dispatcher.handle(new AttemptProgressed("a", 0));
    return dispatcher.endAttempt("a", 0, first.workerId(), outcome);
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"OK", "TIMEOUT", "INVALID"},
      mode = EnumSource.Mode.EXCLUDE)
  void idempotentWorkIsRetriedAfterAnyOutcome(AttemptOutcome outcome) {
    List<Action> actions = endFirstAttempt(DispatcherHarness.IDEMPOTENT_CLASS, outcome);

    assertEquals(1, attempts(actions).size(), "after " + outcome);
  }

  @ParameterizedTest
  @ValueSource(
      ints = {
        DispatcherHarness.IDEMPOTENT_CLASS,
        DispatcherHarness.NON_IDEMPOTENT_CLASS,
        DispatcherHarness.KEYED_CLASS
      })
  void invalidWorkIsNotRetried(int requestClass) {
    List<Action> actions = endFirstAttempt(requestClass, AttemptOutcome.INVALID);

    assertTrue(attempts(actions).isEmpty(), "no other worker would accept it");
    assertEquals(
        List.of(new Fail("a", RejectionReason.RETRIES_EXHAUSTED)), actionsOf(Fail.class, actions));
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"OK", "TIMEOUT"},
      mode = EnumSource.Mode.EXCLUDE)
  void nonIdempotentWorkIsRetriedOnlyIfItNeverRan(AttemptOutcome outcome) {
    List<Action> actions = endFirstAttempt(DispatcherHarness.NON_IDEMPOTENT_CLASS, outcome);

    if (outcome.neverRan()) {
      assertEquals(1, attempts(actions).size(), "after " + outcome);
    } else {
      assertTrue(attempts(actions).isEmpty(), "work that may have run is not repeated");
      assertEquals(
          List.of(new Fail("a", RejectionReason.RETRIES_EXHAUSTED)),
          actionsOf(Fail.class, actions));
      assertTrue(actionsOf(Reject.class, actions).isEmpty());
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"OK", "TIMEOUT"},
      mode = EnumSource.Mode.EXCLUDE)
  void keyedWorkThatMayHaveRunIsRetriedInItsFailureDomain(AttemptOutcome outcome) {
    StartAttempt first = onlyAttempt(dispatcher.arrive("a", "key", DispatcherHarness.KEYED_CLASS));
    dispatcher.nowMicros += SECOND / 10;
    dispatcher.handle(new AttemptProgressed("a", 0));

    List<Action> actions = dispatcher.endAttempt("a", 0, first.workerId(), outcome);

    if (outcome.neverRan()) {
      assertEquals(1, attempts(actions).size(), "after " + outcome);
    } else {
      List<StartAttempt> retries =
          attempts(actions).isEmpty()
              ? attempts(dispatcher.fireTimers(actions, dispatcher.nowMicros + SECOND / 2))
              : attempts(actions);
      for (StartAttempt retry : retries) {
        assertEquals(failureDomain(first.workerId()), failureDomain(retry.workerId()));
      }
    }
  }

  @Test
  void keyedWorkIsRetriedInItsFailureDomainAndDeduplicationWindow() {
    long window =
        DispatcherHarness.CLASSES.get(DispatcherHarness.KEYED_CLASS).deduplicationWindow();
    int retries = 0;
    for (int key = 0; key < KEYS; key++) {
      DispatcherHarness keyed = DispatcherHarness.withWorkers(20);
      StartAttempt first =
          onlyAttempt(keyed.arrive("a", "key" + key, DispatcherHarness.KEYED_CLASS));
      long sentAt = keyed.nowMicros;
      boolean isInWindow = key % 2 == 0;
      keyed.nowMicros += isInWindow ? SECOND / 100 : window;

      List<Action> atOnce = keyed.endAttempt("a", 0, first.workerId(), AttemptOutcome.ERROR);
      List<StartAttempt> later = attempts(keyed.fireTimers(atOnce, keyed.nowMicros + 6 * SECOND));

      for (StartAttempt retry : later) {
        assertEquals(failureDomain(first.workerId()), failureDomain(retry.workerId()));
      }
      assertTrue(
          isInWindow || (attempts(atOnce).isEmpty() && later.isEmpty()),
          "after the window of " + sentAt);
      retries += attempts(atOnce).size() + later.size();
    }
    assertTrue(retries > 0, "some key has a second worker of its failure domain as a candidate");
  }

  /** Workers cannot deduplicate it, so it is treated as work that is not idempotent. */
  @Test
  void aKeyedRequestWithoutAnIdempotencyKeyIsNotRetried() {
    for (int key = 0; key < KEYS; key++) {
      DispatcherHarness keyed = DispatcherHarness.withWorkers(20);
      RequestArrived request =
          new RequestArrived(
              "a",
              "key" + key,
              1,
              DispatcherHarness.KEYED_CLASS,
              -1,
              keyed.nowMicros + 10 * SECOND,
              false,
              Double.NaN,
              null,
              false);
      StartAttempt first = onlyAttempt(keyed.handle(request));
      keyed.nowMicros += SECOND / 100;

      List<Action> actions = keyed.endAttempt("a", 0, first.workerId(), AttemptOutcome.ERROR);

      assertEquals(1, actionsOf(Fail.class, actions).size());
      assertTrue(attempts(keyed.fireTimers(actions, keyed.nowMicros + 6 * SECOND)).isEmpty());
    }
  }
}
