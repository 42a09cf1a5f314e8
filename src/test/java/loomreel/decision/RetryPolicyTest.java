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
  private static final int KEY_COUNT = 60;

  private final DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);

  /**
   * Delivers the arrival of a request, and 0.1 s later the start of its job and the end of its
   * first attempt. Returns the actions after the end.
   */
  private List<Action> endFirstAttempt(int requestClass, AttemptOutcome outcome) {
    StartAttempt firstAttempt = onlyAttempt(dispatcher.arrive("a", "key", requestClass));
    dispatcher.nowMicros += SECOND / 10;
    dispatcher.handle(new AttemptProgressed("a", 0));
    return dispatcher.endAttempt("a", 0, firstAttempt.workerId(), outcome);
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"OK", "TIMEOUT", "INVALID"},
      mode = EnumSource.Mode.EXCLUDE)
  void idempotentWorkIsRetriedAfterAFailedAttempt(AttemptOutcome outcome) {
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
  void keyedWorkThatMayHaveRunIsRetriedOnlyInItsFailureDomain(AttemptOutcome outcome) {
    StartAttempt firstAttempt =
        onlyAttempt(dispatcher.arrive("a", "key", DispatcherHarness.KEYED_CLASS));
    dispatcher.nowMicros += SECOND / 10;
    dispatcher.handle(new AttemptProgressed("a", 0));

    List<Action> actions = dispatcher.endAttempt("a", 0, firstAttempt.workerId(), outcome);

    if (outcome.neverRan()) {
      assertEquals(1, attempts(actions).size(), "after " + outcome);
    } else {
      List<StartAttempt> retries =
          attempts(actions).isEmpty()
              ? attempts(dispatcher.fireTimers(actions, dispatcher.nowMicros + SECOND / 2))
              : attempts(actions);
      for (StartAttempt retry : retries) {
        assertEquals(failureDomain(firstAttempt.workerId()), failureDomain(retry.workerId()));
      }
    }
  }

  @Test
  void keyedWorkIsRetriedOnlyInItsFailureDomainAndDeduplicationWindow() {
    long windowMicros =
        DispatcherHarness.CLASSES.get(DispatcherHarness.KEYED_CLASS).deduplicationWindow();
    int retries = 0;
    for (int key = 0; key < KEY_COUNT; key++) {
      DispatcherHarness keyDispatcher = DispatcherHarness.withWorkers(20);
      StartAttempt firstAttempt =
          onlyAttempt(keyDispatcher.arrive("a", "key" + key, DispatcherHarness.KEYED_CLASS));
      long sentAtMicros = keyDispatcher.nowMicros;
      boolean isInWindow = key % 2 == 0;
      keyDispatcher.nowMicros += isInWindow ? SECOND / 100 : windowMicros;

      List<Action> immediateActions =
          keyDispatcher.endAttempt("a", 0, firstAttempt.workerId(), AttemptOutcome.ERROR);
      List<StartAttempt> laterRetries =
          attempts(
              keyDispatcher.fireTimers(immediateActions, keyDispatcher.nowMicros + 6 * SECOND));

      for (StartAttempt retry : laterRetries) {
        assertEquals(failureDomain(firstAttempt.workerId()), failureDomain(retry.workerId()));
      }
      assertTrue(
          isInWindow || (attempts(immediateActions).isEmpty() && laterRetries.isEmpty()),
          "retried after the deduplication window that started at " + sentAtMicros);
      retries += attempts(immediateActions).size() + laterRetries.size();
    }
    assertTrue(
        retries > 0, "at least one key has a second candidate in the failure domain of the first");
  }

  /**
   * Verifies that a keyed request without an idempotency key counts as non-idempotent, because
   * workers cannot deduplicate it.
   */
  @Test
  void aKeyedRequestWithoutAnIdempotencyKeyIsNotRetried() {
    for (int key = 0; key < KEY_COUNT; key++) {
      DispatcherHarness keyDispatcher = DispatcherHarness.withWorkers(20);
      RequestArrived request =
          new RequestArrived(
              "a",
              "key" + key,
              1,
              DispatcherHarness.KEYED_CLASS,
              -1,
              keyDispatcher.nowMicros + 10 * SECOND,
              false,
              Double.NaN,
              null,
              false);
      StartAttempt firstAttempt = onlyAttempt(keyDispatcher.handle(request));
      keyDispatcher.nowMicros += SECOND / 100;

      List<Action> actions =
          keyDispatcher.endAttempt("a", 0, firstAttempt.workerId(), AttemptOutcome.ERROR);

      assertEquals(1, actionsOf(Fail.class, actions).size());
      assertTrue(
          attempts(keyDispatcher.fireTimers(actions, keyDispatcher.nowMicros + 6 * SECOND))
              .isEmpty());
    }
  }
}
