package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static loomreel.decision.DispatcherHarness.attempts;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import loomreel.decision.Event.AttemptEnded;
import loomreel.decision.Event.AttemptProgressed;
import loomreel.decision.Event.RequestCancelled;
import org.junit.jupiter.api.Test;

/** Workers that are silent, lose connections or are slow, and when they are selected again. */
class OutlierEjectionTest {
  private static final String NO_WORKER = "none";

  private DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);

  /**
   * Has a job of 0.1 s of work run for that long, or for 5 s at the slow worker.
   *
   * @return the worker that it was sent to
   */
  private String serve(String id, String key, String slowWorker) {
    dispatcher.nowMicros += SECOND / 50;
    List<Action> arrival =
        dispatcher.handle(
            dispatcher.request(id, key, DispatcherHarness.IDEMPOTENT_CLASS, SECOND / 10));
    String worker = attempts(arrival).get(0).workerId();
    long duration = worker.equals(slowWorker) ? 5 * SECOND : SECOND / 10;
    dispatcher.handle(new AttemptEnded(id, 0, worker, AttemptOutcome.OK, true, duration, null));
    return worker;
  }

  @Test
  void aSilentWorkerIsNotSelectedUntilItRespondsAgain() {
    for (int i = 0; i < 40; i++) {
      String id = "warm" + i;
      String worker = dispatcher.dispatch(id, "other" + i, DispatcherHarness.IDEMPOTENT_CLASS);
      dispatcher.nowMicros += 2000;
      dispatcher.handle(new AttemptProgressed(id, 0));
      dispatcher.endAttempt(id, 0, worker, AttemptOutcome.OK);
    }
    dispatcher.nowMicros += 5 * SECOND;
    String silent = dispatcher.dispatch("a", "key", DispatcherHarness.NON_IDEMPOTENT_CLASS);

    dispatcher.nowMicros += SECOND / 2;
    String whileSilent = dispatcher.dispatch("b", "key", DispatcherHarness.IDEMPOTENT_CLASS);
    dispatcher.handle(new AttemptProgressed("a", 0));
    dispatcher.nowMicros += SECOND;
    String afterResponse = dispatcher.dispatch("c", "key", DispatcherHarness.IDEMPOTENT_CLASS);

    assertNotEquals(silent, whileSilent);
    assertEquals(silent, afterResponse);
  }

  /** Clients disconnect and connections break while a worker is up: it must not stay idle. */
  @Test
  void aWorkerThatRespondedRecentlyIsSelectedAgainSoon() {
    String worker = dispatcher.dispatch("a", "key", DispatcherHarness.IDEMPOTENT_CLASS);
    dispatcher.nowMicros += 1000;
    dispatcher.handle(new RequestCancelled("a"));
    dispatcher.handle(new AttemptEnded("a", 0, worker, AttemptOutcome.CANCELLED, true, 1000, null));
    assertEquals(worker, dispatcher.dispatch("b", "key", DispatcherHarness.IDEMPOTENT_CLASS));
    dispatcher.handle(new AttemptProgressed("b", 0));

    List<Action> lostConnection =
        dispatcher.endAttempt("b", 0, worker, AttemptOutcome.CONNECT_FAILED);
    dispatcher.nowMicros += SECOND;
    String later = dispatcher.dispatch("c", "key", DispatcherHarness.IDEMPOTENT_CLASS);

    assertNotEquals(worker, attempts(lostConnection).get(0).workerId());
    assertEquals(worker, later);
  }

  /** A machine that has become slow reports no load while it is idle. */
  @Test
  void aWorkerWhoseJobsTakeMuchLongerThanElsewhereIsNotSelectedForAWhile() {
    String slow = serve("a", "key", NO_WORKER);
    for (int i = 0; i < 400; i++) {
      serve("r" + i, "key" + i, slow);
    }

    String atOnce = serve("b", "key", slow);
    dispatcher.nowMicros += 60 * SECOND;
    String later = serve("c", "key", slow);

    assertNotEquals(slow, atOnce);
    assertEquals(slow, later);
  }

  /** The answer may have been lost. */
  @Test
  void aWorkerIsSelectedThoughOneOfItsJobsDoesNotEnd() {
    dispatcher = DispatcherHarness.withWorkers(1);
    for (int i = 0; i < 200; i++) {
      serve("r" + i, "key", NO_WORKER);
    }
    dispatcher.nowMicros += 20 * SECOND;
    dispatcher.handle(
        dispatcher.request("lost", "key", DispatcherHarness.IDEMPOTENT_CLASS, SECOND / 10));
    dispatcher.handle(new AttemptProgressed("lost", 0));
    dispatcher.nowMicros += 3 * SECOND;

    assertEquals("w00", serve("next", "key", NO_WORKER));
  }
}
