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

/** Tests changes and polls of the endpoint list, and workers that operators disable or enable. */
class EndpointUpdateTest {
  @ParameterizedTest
  @EnumSource(
      value = State.class,
      names = {"DRAINING", "REMOVED"})
  void aWorkerThatDrainsOrIsRemovedGetsNoNewAttempt(State state) {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);
    String worker = dispatcher.dispatch("a", "key", DispatcherHarness.IDEMPOTENT_CLASS);

    dispatcher.updateEndpoint(DispatcherHarness.workerNumber(worker), state, 0);

    for (int i = 0; i < 50; i++) {
      String key = i % 2 == 0 ? "key" : null;
      for (StartAttempt attempt :
          attempts(dispatcher.arrive("b" + i, key, DispatcherHarness.IDEMPOTENT_CLASS))) {
        assertFalse(attempt.workerId().equals(worker));
      }
    }
  }

  @Test
  void aFailedWatchKeepsTheEndpointList() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);

    dispatcher.handle(new WatchFailed());

    assertEquals(
        1, attempts(dispatcher.arrive("a", "key", DispatcherHarness.IDEMPOTENT_CLASS)).size());
  }

  @Test
  void aWorkerThatIsMissingFromASnapshotIsRemoved() {
    DispatcherHarness dispatcher = DispatcherHarness.withWorkers(20);

    dispatcher.handle(new EndpointSnapshot(List.of(DispatcherHarness.endpoint(5, State.READY, 0))));

    assertEquals("w05", dispatcher.dispatch("b", "key", DispatcherHarness.IDEMPOTENT_CLASS));
  }

  @Test
  void theEndpointListIsPolledWithinThePollIntervalAndAgainAfterAFailure() {
    Settings pollingSettings = DispatcherHarness.settings(1, true, false, LoadReporting.NONE, true);
    for (int seed = 0; seed < 50; seed++) {
      DispatcherHarness dispatcher = new DispatcherHarness();
      dispatcher.handle(new Stop());

      List<Action> startActions = dispatcher.handle(new Start(seed, pollingSettings));

      SetTimer firstPoll = actionsOf(SetTimer.class, startActions).get(0);
      assertTrue(firstPoll.time() - dispatcher.nowMicros < 10 * SECOND);
      dispatcher.nowMicros = firstPoll.time();
      assertEquals(
          List.of(new PollEndpoints()), dispatcher.handle(new TimerFired(firstPoll.token())));
      List<Action> failureActions = dispatcher.handle(new WatchFailed());
      SetTimer nextPoll = actionsOf(SetTimer.class, failureActions).get(0);
      assertTrue(nextPoll.time() > dispatcher.nowMicros);
      assertTrue(nextPoll.time() - dispatcher.nowMicros < 10 * SECOND);
    }
  }

  /**
   * Verifies that a disabled worker gets no first attempt, no retry and no health check although
   * the endpoint list states that the worker is ready.
   */
  @Test
  void aDisabledWorkerGetsNoAttemptAndNoHealthCheck() {
    DispatcherHarness dispatcher = DispatcherHarness.withHealthChecks(1, 7);
    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(2)));

    dispatcher.handle(new WorkerDisabled("w00"));

    assertEquals(1, dispatcher.policy.ejectedWorkers(dispatcher.nowMicros));
    int attemptsAtEnabledWorker = 0;
    for (int i = 0; i < 50; i++) {
      dispatcher.nowMicros += SECOND / 10;
      dispatcher.updateEndpoint(0, State.READY, 0);
      dispatcher.reportHealth("w01", loadReport(0, 0, 4));
      List<Action> actions =
          new ArrayList<>(dispatcher.arrive("r" + i, null, DispatcherHarness.IDEMPOTENT_CLASS));
      attemptsAtEnabledWorker += attempts(actions).size();
      actions.addAll(dispatcher.endAttempt("r" + i, 0, "w01", AttemptOutcome.REJECTED));
      assertTrue(attempts(actions).stream().noneMatch(a -> a.workerId().equals("w00")));
      assertTrue(healthChecks(actions).stream().noneMatch(c -> c.workerId().equals("w00")));
      dispatcher.nowMicros += SECOND;
      dispatcher.handle(new RequestCancelled("r" + i));
    }
    assertTrue(attemptsAtEnabledWorker > 0, "the enabled worker gets requests");
  }

  /**
   * Verifies that a worker counts as cold after an operator enables it again, because the worker
   * may have restarted while it was disabled. Of 20 requests that arrive at the same time, at least
   * one but not all are sent to the worker, although no other worker is available.
   */
  @Test
  void anEnabledWorkerGetsOnlyItsSlowStartAllowance() {
    DispatcherHarness dispatcher = DispatcherHarness.withHealthChecks(1, 7);
    dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(2)));
    dispatcher.handle(new WorkerDisabled("w00"));
    dispatcher.nowMicros += 55 * SECOND;
    dispatcher.updateEndpoint(0, State.READY, 0);

    dispatcher.handle(new WorkerEnabled("w00"));

    dispatcher.handle(new WorkerDisabled("w01"));
    assertEquals(1, dispatcher.policy.ejectedWorkers(dispatcher.nowMicros));
    int attempts = 0;
    for (int i = 0; i < 20; i++) {
      dispatcher.reportHealth("w00", loadReport(0, 0, 4));
      attempts +=
          attempts(dispatcher.arrive("s" + i, null, DispatcherHarness.IDEMPOTENT_CLASS)).size();
    }
    assertTrue(
        attempts >= 1 && attempts < 20,
        attempts + " attempts at once at a worker that may have restarted");
  }
}
