package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static loomreel.decision.DispatcherHarness.attempts;
import static loomreel.decision.DispatcherHarness.healthChecks;
import static loomreel.decision.DispatcherHarness.loadReport;
import static loomreel.decision.DispatcherHarness.onlyAttempt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loomreel.decision.Action.CheckHealth;
import loomreel.decision.Action.StartAttempt;
import loomreel.decision.Event.EndpointSnapshot;
import loomreel.decision.Event.HealthChecked;
import org.junit.jupiter.api.Test;

/**
 * Tests which workers get a health check before a request is sent, and how the results of health
 * checks are used. A checked worker is a worker that got a health check.
 */
class HealthCheckPolicyTest {
  private static final WorkerLoad IDLE_LOAD = loadReport(0, 0, 4);
  private static final WorkerLoad FULL_LOAD = loadReport(8, 12, 0);

  /**
   * Starts a dispatcher that makes health checks, and delivers an endpoint list of 20 ready
   * workers.
   *
   * @param dispatcherCount the number of dispatchers that serve the same workers, including this
   *     one
   * @param seed the seed for the random numbers of the policy
   */
  private static DispatcherHarness startDispatcher(int dispatcherCount, long seed) {
    DispatcherHarness dispatcher = DispatcherHarness.withHealthChecks(dispatcherCount, seed);
    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(20)));
    return dispatcher;
  }

  /**
   * Delivers the success of every health check among the actions, and of every health check that
   * the policy starts in response.
   *
   * @param checkedWorkers the set to which the ids of the checked workers are added
   * @param load the load report of every checked worker
   * @return all actions other than health checks
   */
  private static List<Action> completeHealthChecks(
      DispatcherHarness dispatcher,
      List<Action> actions,
      Set<String> checkedWorkers,
      WorkerLoad load) {
    List<Action> otherActions = new ArrayList<>();
    List<Action> pendingActions = actions;
    while (!pendingActions.isEmpty()) {
      List<Action> nextActions = new ArrayList<>();
      for (Action action : pendingActions) {
        if (action instanceof CheckHealth check) {
          checkedWorkers.add(check.workerId());
          nextActions.addAll(dispatcher.reportHealth(check.workerId(), load));
        } else {
          otherActions.add(action);
        }
      }
      pendingActions = nextActions;
    }
    return otherActions;
  }

  private static boolean isAtCheckedWorker(List<CheckHealth> checks, StartAttempt attempt) {
    return checks.stream().anyMatch(check -> check.workerId().equals(attempt.workerId()));
  }

  @Test
  void aRequestIsSentToACheckedCandidate() {
    DispatcherHarness dispatcher = startDispatcher(1, 3);
    List<Action> arrivalActions = dispatcher.arrive("a", "key", DispatcherHarness.IDEMPOTENT_CLASS);
    List<CheckHealth> checks = healthChecks(arrivalActions);

    List<Action> results = new ArrayList<>();
    for (CheckHealth check : checks) {
      WorkerLoad load = new WorkerLoad(Double.NaN, Double.NaN, 0.1, 4);
      results.addAll(
          dispatcher.handle(new HealthChecked(check.workerId(), AttemptOutcome.OK, 500, load)));
    }

    assertTrue(attempts(arrivalActions).isEmpty());
    assertTrue(isAtCheckedWorker(checks, onlyAttempt(results)));
  }

  @Test
  void unansweredHealthChecksDoNotBlockTheRequest() {
    DispatcherHarness dispatcher = startDispatcher(1, 3);

    List<Action> arrivalActions = dispatcher.arrive("a", "key", DispatcherHarness.IDEMPOTENT_CLASS);
    List<Action> laterActions =
        dispatcher.fireTimers(arrivalActions, dispatcher.nowMicros + SECOND);

    assertFalse(healthChecks(arrivalActions).isEmpty());
    assertFalse(attempts(laterActions).isEmpty());
  }

  @Test
  void aResetHealthCheckDoesNotEjectItsWorker() {
    DispatcherHarness dispatcher = startDispatcher(1, 3);
    List<CheckHealth> checks =
        healthChecks(dispatcher.arrive("a", "key", DispatcherHarness.IDEMPOTENT_CLASS));

    List<Action> results = new ArrayList<>();
    for (CheckHealth check : checks) {
      results.addAll(
          dispatcher.handle(new HealthChecked(check.workerId(), AttemptOutcome.RESET, 500, null)));
    }

    assertTrue(isAtCheckedWorker(checks, attempts(results).get(0)));
  }

  /**
   * Verifies that a request without a key is sent to the checked worker with the least load. No
   * worker is preferred because of a key, and the worker with the least load is the most likely to
   * have a free slot when the request arrives there.
   */
  @Test
  void aRequestWithoutAKeyIsSentToTheLeastLoadedOfTheCheckedWorkers() {
    for (int seed = 0; seed < 20; seed++) {
      DispatcherHarness dispatcher = startDispatcher(1, seed);
      List<CheckHealth> checks =
          healthChecks(dispatcher.arrive("a", null, DispatcherHarness.IDEMPOTENT_CLASS));

      List<Action> lastResult = List.of();
      for (int i = 0; i < checks.size(); i++) {
        int freeSlots = 1 + (i + seed) % checks.size();
        lastResult =
            dispatcher.reportHealth(
                checks.get(i).workerId(), loadReport(0, 4 - freeSlots, freeSlots));
      }

      // The index of the worker that reported the most free slots.
      int leastLoaded = (2 * checks.size() - 1 - seed % checks.size()) % checks.size();
      assertEquals(
          checks.get(leastLoaded).workerId(),
          attempts(lastResult).get(0).workerId(),
          "seed " + seed);
    }
  }

  /**
   * Verifies that a high load in the first report of a worker does not dominate the later reports.
   * A dispatcher that starts under load gets a first report with a high load, which is not the
   * usual load of the worker.
   */
  @Test
  void aLoadPeakInTheFirstReportIsOutweighedByFiveLaterReports() {
    DispatcherHarness dispatcher = DispatcherHarness.withHealthChecks(1, 7);
    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(1)));
    dispatcher.reportHealth("w00", loadReport(30, 34, 0));
    for (int i = 0; i < 5; i++) {
      dispatcher.nowMicros += SECOND / 10;
      dispatcher.reportHealth("w00", IDLE_LOAD);
    }

    List<Action> arrivalActions = dispatcher.arrive("a", "key", DispatcherHarness.IDEMPOTENT_CLASS);

    assertEquals(1, attempts(arrivalActions).size());
  }

  /**
   * Verifies that a fallback candidate gets a health check before it gets a request. Fallback
   * candidates are the workers that are considered if the hashed candidates, to which the key of
   * the request hashes, are full. A dispatcher that is one of many cannot derive the load of a
   * worker from its own jobs alone, because other dispatchers send jobs to the worker too.
   */
  @Test
  void aFallbackCandidateIsCheckedBeforeItGetsARequest() {
    for (int seed = 0; seed < 30; seed++) {
      DispatcherHarness dispatcher = startDispatcher(60, seed);
      List<Action> results = new ArrayList<>();
      Set<String> hashedWorkers = new HashSet<>();
      for (CheckHealth check :
          healthChecks(dispatcher.arrive("a", "key" + seed, DispatcherHarness.IDEMPOTENT_CLASS))) {
        hashedWorkers.add(check.workerId());
        results.addAll(dispatcher.reportHealth(check.workerId(), FULL_LOAD));
      }
      assertTrue(
          attempts(results).isEmpty(),
          "the hashed candidates are full, and no other load is known");

      Set<String> fallbackWorkers = new HashSet<>();
      List<Action> laterActions =
          completeHealthChecks(dispatcher, results, fallbackWorkers, IDLE_LOAD);

      assertTrue(
          fallbackWorkers.contains(onlyAttempt(laterActions).workerId()),
          laterActions + ", checked: " + fallbackWorkers + ", full: " + hashedWorkers);
    }
  }

  /**
   * Verifies that the requests of a hot key are spread over many workers, that each request is sent
   * to a worker that was checked for this request, and that at most three workers are checked for a
   * request.
   */
  @Test
  void requestsWithAHotKeyAreSentToManyCheckedWorkers() {
    DispatcherHarness dispatcher = startDispatcher(60, 3);
    Set<String> usedWorkers = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      dispatcher.nowMicros += SECOND / 2;
      Set<String> checkedWorkers = new HashSet<>();
      List<Action> arrivalActions =
          dispatcher.arrive("r" + i, "hot", DispatcherHarness.IDEMPOTENT_CLASS);

      List<Action> laterActions =
          completeHealthChecks(dispatcher, arrivalActions, checkedWorkers, IDLE_LOAD);

      String worker = onlyAttempt(laterActions).workerId();
      assertTrue(
          checkedWorkers.contains(worker),
          worker + " was not among the checked workers " + checkedWorkers);
      assertTrue(checkedWorkers.size() <= 3, checkedWorkers.toString());
      usedWorkers.add(worker);
      dispatcher.endAttempt("r" + i, 0, worker, AttemptOutcome.OK);
    }
    assertTrue(usedWorkers.size() > 3, "the key uses only " + usedWorkers);
  }
}
