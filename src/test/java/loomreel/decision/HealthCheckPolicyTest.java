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

/** Which workers are checked before a request is placed, and what follows from the results. */
class HealthCheckPolicyTest {
  private static final WorkerLoad IDLE = loadReport(0, 0, 4);
  private static final WorkerLoad FULL = loadReport(8, 12, 0);

  private static DispatcherHarness dispatcher(int dispatchers, long seed) {
    DispatcherHarness dispatcher = DispatcherHarness.withHealthChecks(dispatchers, seed);
    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(20)));
    return dispatcher;
  }

  /**
   * Has every health check succeed, also those that follow from the results.
   *
   * @param checked where the ids of the checked workers are added
   * @return the actions other than health checks
   */
  private static List<Action> answerHealthChecks(
      DispatcherHarness dispatcher, List<Action> actions, Set<String> checked, WorkerLoad load) {
    List<Action> others = new ArrayList<>();
    List<Action> current = actions;
    while (!current.isEmpty()) {
      List<Action> next = new ArrayList<>();
      for (Action action : current) {
        if (action instanceof CheckHealth check) {
          checked.add(check.workerId());
          next.addAll(dispatcher.reportHealth(check.workerId(), load));
        } else {
          others.add(action);
        }
      }
      current = next;
    }
    return others;
  }

  private static boolean isAmong(List<CheckHealth> checks, StartAttempt attempt) {
    return checks.stream().anyMatch(check -> check.workerId().equals(attempt.workerId()));
  }

  @Test
  void aRequestIsSentToACheckedCandidate() {
    DispatcherHarness dispatcher = dispatcher(1, 3);
    List<Action> arrival = dispatcher.arrive("a", "key", DispatcherHarness.READ);
    List<CheckHealth> checks = healthChecks(arrival);

    List<Action> results = new ArrayList<>();
    for (CheckHealth check : checks) {
      WorkerLoad load = new WorkerLoad(Double.NaN, Double.NaN, 0.1, 4);
      results.addAll(
          dispatcher.handle(new HealthChecked(check.workerId(), AttemptOutcome.OK, 500, load)));
    }

    assertTrue(attempts(arrival).isEmpty());
    assertTrue(isAmong(checks, onlyAttempt(results)));
  }

  @Test
  void unansweredHealthChecksDoNotBlockTheRequest() {
    DispatcherHarness dispatcher = dispatcher(1, 3);

    List<Action> arrival = dispatcher.arrive("a", "key", DispatcherHarness.READ);
    List<Action> later = dispatcher.fireTimers(arrival, dispatcher.now + SECOND);

    assertFalse(healthChecks(arrival).isEmpty());
    assertFalse(attempts(later).isEmpty());
  }

  @Test
  void aResetHealthCheckDoesNotEjectItsWorker() {
    DispatcherHarness dispatcher = dispatcher(1, 3);
    List<CheckHealth> checks = healthChecks(dispatcher.arrive("a", "key", DispatcherHarness.READ));

    List<Action> results = new ArrayList<>();
    for (CheckHealth check : checks) {
      results.addAll(
          dispatcher.handle(new HealthChecked(check.workerId(), AttemptOutcome.RESET, 500, null)));
    }

    assertTrue(isAmong(checks, attempts(results).get(0)));
  }

  /** It has no affinity to lose, and the least loaded worker is the likeliest to stay free. */
  @Test
  void aRequestWithoutAKeyIsSentToTheLeastLoadedOfTheCheckedWorkers() {
    for (int seed = 0; seed < 20; seed++) {
      DispatcherHarness dispatcher = dispatcher(1, seed);
      List<CheckHealth> checks = healthChecks(dispatcher.arrive("a", null, DispatcherHarness.READ));

      List<Action> lastResult = List.of();
      for (int i = 0; i < checks.size(); i++) {
        int free = 1 + (i + seed) % checks.size();
        lastResult =
            dispatcher.reportHealth(checks.get(i).workerId(), loadReport(0, 4 - free, free));
      }

      int leastLoaded = (2 * checks.size() - 1 - seed % checks.size()) % checks.size();
      assertEquals(
          checks.get(leastLoaded).workerId(),
          attempts(lastResult).get(0).workerId(),
          "seed " + seed);
    }
  }

  /** A dispatcher that starts under load gets a peak first, which is not the usual load. */
  @Test
  void aPeakInTheFirstReportLosesItsWeightSoon() {
    DispatcherHarness dispatcher = DispatcherHarness.withHealthChecks(1, 7);
    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(1)));
    dispatcher.reportHealth("w00", loadReport(30, 34, 0));
    for (int i = 0; i < 5; i++) {
      dispatcher.now += SECOND / 10;
      dispatcher.reportHealth("w00", IDLE);
    }

    List<Action> arrival = dispatcher.arrive("a", "key", DispatcherHarness.READ);

    assertEquals(1, attempts(arrival).size());
  }

  /** One of many dispatchers cannot know a worker's load from its own jobs. */
  @Test
  void theFallbackIsCheckedBeforeItIsUsed() {
    for (int seed = 0; seed < 30; seed++) {
      DispatcherHarness dispatcher = dispatcher(60, seed);
      List<Action> results = new ArrayList<>();
      Set<String> hashed = new HashSet<>();
      for (CheckHealth check :
          healthChecks(dispatcher.arrive("a", "key" + seed, DispatcherHarness.READ))) {
        hashed.add(check.workerId());
        results.addAll(dispatcher.reportHealth(check.workerId(), FULL));
      }
      assertTrue(
          attempts(results).isEmpty(), "both candidates are full, and no other load is known");

      Set<String> fallback = new HashSet<>();
      List<Action> later = answerHealthChecks(dispatcher, results, fallback, IDLE);

      assertTrue(
          fallback.contains(onlyAttempt(later).workerId()),
          later + " of " + fallback + " beside " + hashed);
    }
  }

  /** The requests of a hot key spread over many workers, and each is sent to a checked one. */
  @Test
  void aRequestWithAHotKeyIsSentToACheckedWorker() {
    DispatcherHarness dispatcher = dispatcher(60, 3);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      dispatcher.now += SECOND / 2;
      Set<String> checked = new HashSet<>();
      List<Action> arrival = dispatcher.arrive("r" + i, "hot", DispatcherHarness.READ);

      List<Action> later = answerHealthChecks(dispatcher, arrival, checked, IDLE);

      String worker = onlyAttempt(later).workerId();
      assertTrue(checked.contains(worker), worker + " was not among " + checked);
      assertTrue(checked.size() <= 3, checked.toString());
      used.add(worker);
      dispatcher.endAttempt("r" + i, 0, worker, AttemptOutcome.OK);
    }
    assertTrue(used.size() > 3, "it is spread: " + used);
  }
}
