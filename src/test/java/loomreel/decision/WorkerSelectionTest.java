package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static loomreel.decision.DispatcherHarness.attempts;
import static loomreel.decision.DispatcherHarness.loadReport;
import static loomreel.decision.DispatcherHarness.onlyAttempt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loomreel.decision.Action.StartAttempt;
import loomreel.decision.Event.AttemptProgressed;
import loomreel.decision.Event.EndpointSnapshot;
import loomreel.decision.Settings.LoadReporting;
import org.junit.jupiter.api.Test;

/** Tests which worker gets a request if the dispatcher makes no health checks. */
class WorkerSelectionTest {
  @Test
  void everyDispatcherSendsAKeyToTheSameWorkerWhileThatWorkerIsBelowTheLoadThreshold() {
    Map<String, String> workerByKey = new HashMap<>();
    for (int seed = 0; seed < 3; seed++) {
      DispatcherHarness dispatcher =
          new DispatcherHarness(
              DispatcherHarness.settings(3, true, false, LoadReporting.WITH_ANSWERS, false), seed);
      dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(20)));
      for (int i = 0; i < 40; i++) {
        String key = "key" + i;
        String id = seed + "-" + i;

        String worker = dispatcher.dispatch(id, key, DispatcherHarness.IDEMPOTENT_CLASS);

        assertEquals(workerByKey.computeIfAbsent(key, absent -> worker), worker);
        dispatcher.endAttempt(id, 0, worker, AttemptOutcome.OK);
        dispatcher.nowMicros += SECOND / 5;
      }
    }
    assertTrue(
        new HashSet<>(workerByKey.values()).size() > 10, "the keys are spread over many workers");
  }

  /**
   * Verifies that a request goes to the second of the two workers to which its key hashes if the
   * first worker is full, and to a fallback worker if both workers are full.
   */
  @Test
  void aRequestGoesToTheSecondCandidateIfTheFirstIsFullAndToAFallbackIfBothAreFull() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);
    Set<String> usedWorkers = new HashSet<>();
    for (int i = 0; i < 3; i++) {
      String worker = dispatcher.dispatch("r" + i, "key", DispatcherHarness.IDEMPOTENT_CLASS);

      assertTrue(usedWorkers.add(worker), "a worker that reported no free slot is not selected");
      dispatcher.succeedFirstAttempt("r" + i, worker, loadReport(4, 8, 0));
    }
  }

  @Test
  void requestsWithoutAKeyAreSpreadOverManyWorkers() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);

    Set<String> usedWorkers = new HashSet<>();
    for (int i = 0; i < 30; i++) {
      usedWorkers.add(dispatcher.dispatch("r" + i, null, DispatcherHarness.IDEMPOTENT_CLASS));
    }

    assertTrue(usedWorkers.size() > 8);
  }

  @Test
  void aClassRunsOnlyOnWorkersOfItsKind() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);
    for (int i = 0; i < 30; i++) {
      String key = i % 2 == 0 ? "key" + i : null;

      String worker = dispatcher.dispatch("r" + i, key, DispatcherHarness.BIG_WORKER_CLASS);

      // Workers whose number is a multiple of 3 are of kind big.
      assertEquals(0, DispatcherHarness.workerNumber(worker) % 3);
      dispatcher.endAttempt("r" + i, 0, worker, AttemptOutcome.OK);
    }
  }

  @Test
  void aSingleWorkerGetsEveryRequest() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(1);

    assertEquals("w00", dispatcher.dispatch("a", "key", DispatcherHarness.IDEMPOTENT_CLASS));
  }

  @Test
  void withoutWorkersARequestIsQueuedUntilAWorkerJoins() {
    DispatcherHarness dispatcher = new DispatcherHarness();
    List<Action> arrivalActions = dispatcher.arrive("b", "key", DispatcherHarness.IDEMPOTENT_CLASS);
    assertTrue(attempts(arrivalActions).isEmpty());

    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(1)));

    List<Action> laterActions =
        dispatcher.fireTimers(arrivalActions, dispatcher.nowMicros + SECOND);
    assertEquals("w00", attempts(laterActions).get(0).workerId());
  }

  @Test
  void addedWorkersMoveFewKeys() {
    Map<String, String> workerByKey = new HashMap<>();
    int movedKeys = 0;
    for (int workerCount = 20; workerCount <= 22; workerCount += 2) {
      DispatcherHarness dispatcher = DispatcherHarness.withWorkers(workerCount);
      for (int key = 0; key < 200; key++) {
        String worker =
            dispatcher.dispatch("r" + key, "key" + key, DispatcherHarness.IDEMPOTENT_CLASS);
        String previousWorker = workerByKey.putIfAbsent("key" + key, worker);
        movedKeys += previousWorker == null || previousWorker.equals(worker) ? 0 : 1;
        dispatcher.endAttempt("r" + key, 0, worker, AttemptOutcome.OK);
        dispatcher.nowMicros += SECOND / 2;
      }
    }

    assertTrue(movedKeys > 0 && movedKeys < 50, "moved keys: " + movedKeys);
  }

  /**
   * Verifies that a dispatcher spreads the requests of a hot key over many workers even if it gets
   * only a small part of these requests. The test has a single dispatcher. According to its
   * settings, 50 dispatchers serve the same workers, so the dispatcher expects 50 times the
   * requests that it gets.
   */
  @Test
  void aDispatcherThatIsOneOfManySpreadsAHotKeyOverManyWorkers() {
    DispatcherHarness dispatcher =
        new DispatcherHarness(
            DispatcherHarness.settings(50, true, false, LoadReporting.WITH_ANSWERS, false), 3);
    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(40)));

    Set<String> usedWorkers = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      String worker = dispatcher.dispatch("r" + i, "hot", DispatcherHarness.IDEMPOTENT_CLASS);
      usedWorkers.add(worker);
      dispatcher.handle(new AttemptProgressed("r" + i, 0));
      dispatcher.endAttempt("r" + i, 0, worker, AttemptOutcome.OK);
      dispatcher.nowMicros += SECOND / 20;
    }

    assertTrue(usedWorkers.size() > 10, "used workers: " + usedWorkers.size());
  }

  /**
   * Verifies that a worker counts as loaded for some time after a job at the worker started with a
   * delay. If workers send no load reports, a dispatcher uses this delay to recognize the load that
   * other dispatchers cause.
   */
  @Test
  void withoutLoadReportsADelayedJobStartCountsAsLoadForSomeTime() {
    DispatcherHarness dispatcher =
        new DispatcherHarness(
            DispatcherHarness.settings(3, true, false, LoadReporting.NONE, false), 3);
    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(20)));
    String loadedWorker = dispatcher.dispatch("a", "key", DispatcherHarness.IDEMPOTENT_CLASS);
    dispatcher.nowMicros += SECOND / 5;
    dispatcher.handle(new AttemptProgressed("a", 0));
    dispatcher.endAttempt("a", 0, loadedWorker, AttemptOutcome.OK);

    String otherWorker = dispatcher.dispatch("b", "key", DispatcherHarness.IDEMPOTENT_CLASS);
    dispatcher.endAttempt("b", 0, otherWorker, AttemptOutcome.OK);
    dispatcher.nowMicros += 5 * SECOND;
    String laterWorker = dispatcher.dispatch("c", "key", DispatcherHarness.IDEMPOTENT_CLASS);

    assertNotEquals(loadedWorker, otherWorker);
    assertEquals(loadedWorker, laterWorker);
  }

  /**
   * Verifies that a queued request is sent to a worker further down in the ranking of workers for
   * its key if the first workers of the ranking are full. The dispatcher repeats the selection of a
   * worker while the request is queued. In the incident ie4bf55, each selection considered the same
   * few full workers, although other workers had capacity.
   */
  @Test
  void aQueuedRequestIsSentToAWorkerFurtherDownTheRankingIfTheFirstWorkersAreFull() {
    DispatcherHarness dispatcher = new DispatcherHarness();
    dispatcher.nowMicros += 30 * SECOND;
    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(40)));
    Set<String> fullWorkers = new HashSet<>();
    List<Action> queuedArrivalActions = null;
    for (int i = 0; queuedArrivalActions == null && i < 30; i++) {
      List<Action> arrivalActions =
          dispatcher.arrive("r" + i, "key", DispatcherHarness.IDEMPOTENT_CLASS);
      if (attempts(arrivalActions).isEmpty()) {
        queuedArrivalActions = arrivalActions;
      } else {
        String worker = onlyAttempt(arrivalActions).workerId();
        fullWorkers.add(worker);
        dispatcher.succeedFirstAttempt("r" + i, worker, loadReport(4, 8, 0));
      }
    }
    assertFalse(
        queuedArrivalActions == null, "the first workers of the key's ranking were never all full");

    List<StartAttempt> laterAttempts =
        attempts(dispatcher.fireTimers(queuedArrivalActions, dispatcher.nowMicros + SECOND / 3));

    assertEquals(1, laterAttempts.size());
    assertFalse(fullWorkers.contains(laterAttempts.get(0).workerId()));
  }
}
