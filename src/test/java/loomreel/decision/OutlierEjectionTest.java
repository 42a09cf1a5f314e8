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

/**
 * Tests whether a worker is still selected after an event that may indicate a fault of the worker,
 * and when it is selected again. The tested events are a missing report of the start of a job, a
 * cancelled request, a connection that cannot be established, slow jobs, and a job that does not
 * end.
 */
class OutlierEjectionTest {
  /** The value of the parameter {@code slowWorker} of {@link #serve} if no worker is slow. */
  private static final String NO_WORKER = "none";

  private DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);

  /**
   * Advances the clock by 0.02 s, delivers the arrival of a request with 0.1 s of expected work,
   * and then delivers the success of its attempt at once. The event of the success states that the
   * attempt took 0.1 s, or 5 s if the attempt was sent to the slow worker.
   *
   * @param slowWorker the id of the slow worker, or {@link #NO_WORKER}
   * @return the id of the worker that got the attempt
   */
  private String serve(String id, String key, String slowWorker) {
    dispatcher.nowMicros += SECOND / 50;
    List<Action> arrival =
        dispatcher.handle(
            dispatcher.request(id, key, DispatcherHarness.IDEMPOTENT_CLASS, SECOND / 10));
    String worker = attempts(arrival).get(0).workerId();
    long durationMicros = worker.equals(slowWorker) ? 5 * SECOND : SECOND / 10;
    dispatcher.handle(
        new AttemptEnded(id, 0, worker, AttemptOutcome.OK, true, durationMicros, null));
    return worker;
  }

  /**
   * Verifies that a worker is not selected while its report of the start of a job is overdue, and
   * is selected again 1 s after this report. Other workers report the start of a job after 2 ms.
   * The silent worker reports the start after 0.5 s.
   */
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
    String silentWorker = dispatcher.dispatch("a", "key", DispatcherHarness.NON_IDEMPOTENT_CLASS);

    dispatcher.nowMicros += SECOND / 2;
    String workerWhileSilent = dispatcher.dispatch("b", "key", DispatcherHarness.IDEMPOTENT_CLASS);
    dispatcher.handle(new AttemptProgressed("a", 0));
    dispatcher.nowMicros += SECOND;
    String workerAfterResponse =
        dispatcher.dispatch("c", "key", DispatcherHarness.IDEMPOTENT_CLASS);

    assertNotEquals(silentWorker, workerWhileSilent);
    assertEquals(silentWorker, workerAfterResponse);
  }

  /**
   * Verifies two cases that can occur although the worker is up. In the first case, a client
   * cancels a request 1 ms after the request was sent to a worker. The worker is selected for the
   * next request. In the second case, no connection to a worker can be established, but the worker
   * responded recently. The worker is not selected for the retry, but is selected again 1 s later.
   */
  @Test
  void aQuickCancellationDoesNotEjectAWorkerAndAFailedConnectionEjectsItForAtMostASecond() {
    String worker = dispatcher.dispatch("a", "key", DispatcherHarness.IDEMPOTENT_CLASS);
    dispatcher.nowMicros += 1000;
    dispatcher.handle(new RequestCancelled("a"));
    dispatcher.handle(new AttemptEnded("a", 0, worker, AttemptOutcome.CANCELLED, true, 1000, null));
    assertEquals(worker, dispatcher.dispatch("b", "key", DispatcherHarness.IDEMPOTENT_CLASS));
    dispatcher.handle(new AttemptProgressed("b", 0));

    List<Action> actionsAfterConnectFailure =
        dispatcher.endAttempt("b", 0, worker, AttemptOutcome.CONNECT_FAILED);
    dispatcher.nowMicros += SECOND;
    String laterWorker = dispatcher.dispatch("c", "key", DispatcherHarness.IDEMPOTENT_CLASS);

    assertNotEquals(worker, attempts(actionsAfterConnectFailure).get(0).workerId());
    assertEquals(worker, laterWorker);
  }

  /**
   * Verifies that a worker is not selected for some time if its jobs take much longer than jobs at
   * other workers. Load reports do not show that a machine is slow, because a slow machine reports
   * no load while it is idle.
   */
  @Test
  void aWorkerWhoseJobsTakeMuchLongerThanElsewhereIsNotSelectedForSomeTime() {
    String slowWorker = serve("a", "key", NO_WORKER);
    for (int i = 0; i < 400; i++) {
      serve("r" + i, "key" + i, slowWorker);
    }

    String nextWorker = serve("b", "key", slowWorker);
    dispatcher.nowMicros += 60 * SECOND;
    String laterWorker = serve("c", "key", slowWorker);

    assertNotEquals(slowWorker, nextWorker);
    assertEquals(slowWorker, laterWorker);
  }

  /**
   * Verifies that a worker is still selected if one of its jobs does not end. The answer of that
   * job may have been lost, so the job does not prove that the worker is slow.
   */
  @Test
  void aWorkerIsStillSelectedIfOneOfItsJobsDoesNotEnd() {
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
