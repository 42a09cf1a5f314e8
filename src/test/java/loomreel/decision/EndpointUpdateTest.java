package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static loomreel.decision.DispatcherHarness.actionsOf;
import static loomreel.decision.DispatcherHarness.attempts;
import static loomreel.decision.DispatcherHarness.healthChecks;
import static loomreel.decision.DispatcherHarness.loadReport;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loomreel.decision.Action.PollEndpoints;
import loomreel.decision.Action.SetTimer;
import loomreel.decision.Action.StartAttempt;
import loomreel.decision.Endpoint.State;
import loomreel.decision.Event.EndpointSnapshot;
import loomreel.decision.Event.RequestCancelled;
import loomreel.decision.Event.Start;
import loomreel.decision.Event.Stop;
import loomreel.decision.Event.TimerFired;
import loomreel.decision.Event.WatchFailed;
import loomreel.decision.Event.WorkerDisabled;
import loomreel.decision.Event.WorkerEnabled;
import loomreel.decision.Settings.LoadReporting;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The endpoint list, its polls, and the workers that operators disable and enable. */
class EndpointUpdateTest {
  @ParameterizedTest
  @EnumSource(
      value = State.class,
      names = {"DRAINING", "REMOVED"})
  void aWorkerThatDrainsOrIsRemovedGetsNoNewAttempt(State state) {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);
    String worker = dispatcher.workerFor("a", "key", DispatcherHarness.READ);

    dispatcher.updateEndpoint(DispatcherHarness.number(worker), state, 0);

    for (int i = 0; i < 50; i++) {
      String key = i % 2 == 0 ? "key" : null;
      for (StartAttempt attempt :
          attempts(dispatcher.arrive("b" + i, key, DispatcherHarness.READ))) {
        assertFalse(attempt.workerId().equals(worker));
      }
    }
  }

  @Test
  void aFailedWatchChangesNothing() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);

    dispatcher.handle(new WatchFailed());

    assertEquals(1, attempts(dispatcher.arrive("a", "key", DispatcherHarness.READ)).size());
  }

  @Test
  void aWorkerThatIsMissingFromASnapshotIsRemoved() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);

    dispatcher.handle(new EndpointSnapshot(List.of(DispatcherHarness.endpoint(5, State.READY, 0))));

    assertEquals("w05", dispatcher.workerFor("b", "key", DispatcherHarness.READ));
  }

  @Test
  void theListIsPolledWithinItsIntervalAndAgainAfterAFailure() {
    Settings polling = DispatcherHarness.settings(1, true, false, LoadReporting.NONE, true);
    for (int seed = 0; seed < 50; seed++) {
      DispatcherHarness dispatcher = new DispatcherHarness();
      dispatcher.handle(new Stop());

      List<Action> start = dispatcher.handle(new Start(seed, polling));

      SetTimer firstPoll = actionsOf(SetTimer.class, start).get(0);
      assertTrue(firstPoll.time() - dispatcher.now < 10 * SECOND);
      dispatcher.now = firstPoll.time();
      assertEquals(
          List.of(new PollEndpoints()), dispatcher.handle(new TimerFired(firstPoll.token())));
      List<Action> failure = dispatcher.handle(new WatchFailed());
      SetTimer nextPoll = actionsOf(SetTimer.class, failure).get(0);
      assertTrue(nextPoll.time() > dispatcher.now);
      assertTrue(nextPoll.time() - dispatcher.now < 10 * SECOND);
    }
  }

  /** No first attempt, no retry and no health check, however often the list names it as ready. */
  @Test
  void aDisabledWorkerGetsNothing() {
    DispatcherHarness dispatcher = DispatcherHarness.withHealthChecks(1, 7);
    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(2)));

    dispatcher.handle(new WorkerDisabled("w00"));

    assertEquals(1, dispatcher.policy.ejectedWorkers(dispatcher.now));
    int attemptsElsewhere = 0;
    for (int i = 0; i < 50; i++) {
      dispatcher.now += SECOND / 10;
      dispatcher.updateEndpoint(0, State.READY, 0);
      dispatcher.reportHealth("w01", loadReport(0, 0, 4));
      List<Action> actions =
          new ArrayList<>(dispatcher.arrive("r" + i, null, DispatcherHarness.READ));
      attemptsElsewhere += attempts(actions).size();
      actions.addAll(dispatcher.endAttempt("r" + i, 0, "w01", AttemptOutcome.REJECTED));
      assertTrue(attempts(actions).stream().noneMatch(a -> a.workerId().equals("w00")));
      assertTrue(healthChecks(actions).stream().noneMatch(c -> c.workerId().equals("w00")));
      dispatcher.now += SECOND;
      dispatcher.handle(new RequestCancelled("r" + i));
    }
    assertTrue(attemptsElsewhere > 0, "the other one serves");
  }

  @Test
  void anEnabledWorkerWarmsUp() {
    DispatcherHarness dispatcher = DispatcherHarness.withHealthChecks(1, 7);
    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(2)));
    dispatcher.handle(new WorkerDisabled("w00"));
    dispatcher.now += 55 * SECOND;
    dispatcher.updateEndpoint(0, State.READY, 0);

    dispatcher.handle(new WorkerEnabled("w00"));

    dispatcher.handle(new WorkerDisabled("w01"));
    assertEquals(1, dispatcher.policy.ejectedWorkers(dispatcher.now));
    int attempts = 0;
    for (int i = 0; i < 20; i++) {
      dispatcher.reportHealth("w00", loadReport(0, 0, 4));
      attempts += attempts(dispatcher.arrive("s" + i, null, DispatcherHarness.READ)).size();
    }
    assertTrue(
        attempts >= 1 && attempts < 20, attempts + " at once to a worker that may have restarted");
  }
}
