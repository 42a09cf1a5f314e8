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

/**
 * Tests when a request gets another attempt after a failed attempt. Keyed work is the work of
 * requests of the class {@link DispatcherHarness#KEYED_CLASS}, which workers deduplicate by an
 * idempotency key. The keys in this test are routing keys.
 */
class RetryPolicyTest {
  /** The number of routing keys with which a test is repeated. */
  private static final int KEY_COUNT = 60;

  private final DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);

  /**
   * Delivers the arrival of a request. Then, 0.1 s later, delivers the start of its job and the end
   * of its first attempt.
   *
   * @return the actions of the policy in response to the end of the attempt
   */
  private List<Action> endFirstAttempt(int classIndex, AttemptOutcome outcome) {
    StartAttempt firstAttempt = onlyAttempt(dispatcher.arrive("a", "key", classIndex));
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
  void invalidWorkIsNotRetried(int classIndex) {
    List<Action> actions = endFirstAttempt(classIndex, AttemptOutcome.INVALID);

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
  void keyedWorkThatMayHaveRunIsRetriedOnlyInTheFailureDomainOfTheFirstAttempt(
      AttemptOutcome outcome) {
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

  /**
   * Verifies that keyed work that may have run is retried only at workers in the failure domain of
   * the first attempt, and only before the deduplication window ends. The window begins when the
   * first attempt is sent. The first attempt of every second request ends within the window.
   *
   * <p>The policy starts a retry either at once when the first attempt ends, or later when a timer
   * fires. This test checks the failure domain of the later retries only, but checks the window for
   * all retries.
   *
   * <p>At least one request must be retried. For at least one of the keys, another worker in the
   * failure domain of the first attempt is among the workers that the policy considers.
   */
  @Test
  void keyedWorkIsRetriedOnlyInTheSameFailureDomainAndTheDeduplicationWindow() {
    long windowMicros =
        DispatcherHarness.CLASSES.get(DispatcherHarness.KEYED_CLASS).deduplicationWindow();
    int retries = 0;
    for (int key = 0; key < KEY_COUNT; key++) {
      DispatcherHarness newDispatcher = DispatcherHarness.withWorkers(20);
      StartAttempt firstAttempt =
          onlyAttempt(newDispatcher.arrive("a", "key" + key, DispatcherHarness.KEYED_CLASS));
      long sentAtMicros = newDispatcher.nowMicros;
      boolean isInWindow = key % 2 == 0;
      newDispatcher.nowMicros += isInWindow ? SECOND / 100 : windowMicros;

      List<Action> immediateActions =
          newDispatcher.endAttempt("a", 0, firstAttempt.workerId(), AttemptOutcome.ERROR);
      List<StartAttempt> laterRetries =
          attempts(
              newDispatcher.fireTimers(immediateActions, newDispatcher.nowMicros + 6 * SECOND));

      for (StartAttempt retry : laterRetries) {
        assertEquals(failureDomain(firstAttempt.workerId()), failureDomain(retry.workerId()));
      }
      assertTrue(
          isInWindow || (attempts(immediateActions).isEmpty() && laterRetries.isEmpty()),
          "retried after the deduplication window that started at " + sentAtMicros);
      retries += attempts(immediateActions).size() + laterRetries.size();
    }
    assertTrue(retries > 0, "no request was retried within the deduplication window");
  }

  /**
   * Verifies that a request of {@link DispatcherHarness#KEYED_CLASS} counts as non-idempotent if it
   * has no idempotency key, because workers cannot deduplicate such a request. The requests of this
   * test have a routing key.
   */
  @Test
  void aRequestOfTheKeyedClassIsNotRetriedIfItHasNoIdempotencyKey() {
    for (int key = 0; key < KEY_COUNT; key++) {
      DispatcherHarness newDispatcher = DispatcherHarness.withWorkers(20);
      // The last argument states that the request has no idempotency key.
      RequestArrived request =
          new RequestArrived(
              "a",
              "key" + key,
              1,
              DispatcherHarness.KEYED_CLASS,
              -1,
              newDispatcher.nowMicros + 10 * SECOND,
              false,
              Double.NaN,
              null,
              false);
      StartAttempt firstAttempt = onlyAttempt(newDispatcher.handle(request));
      newDispatcher.nowMicros += SECOND / 100;

      List<Action> actions =
          newDispatcher.endAttempt("a", 0, firstAttempt.workerId(), AttemptOutcome.ERROR);

      assertEquals(1, actionsOf(Fail.class, actions).size());
      assertTrue(
          attempts(newDispatcher.fireTimers(actions, newDispatcher.nowMicros + 6 * SECOND))
              .isEmpty());
    }
  }
}
