package loomreel.decision;

import static loomreel.decision.DispatcherHarness.attempts;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import loomreel.decision.Event.AttemptProgressed;
import loomreel.decision.Event.HealthChecked;
import loomreel.decision.Event.RequestCancelled;
import loomreel.decision.Event.Start;
import loomreel.decision.Event.Stop;
import loomreel.decision.Event.TimerFired;
import loomreel.decision.Event.WatchFailed;
import org.junit.jupiter.api.Test;

/** The contract of {@link DispatchPolicy#on}: what it rejects, ignores and forgets. */
class DispatchPolicyTest {
  private final DispatcherHarness dispatcher = new DispatcherHarness();
  private final DispatchPolicy policy = dispatcher.policy;
  private final List<Action> actions = new ArrayList<>();

  @Test
  void nullIsRejected() {
    assertThrows(NullPointerException.class, () -> policy.on(null, dispatcher.now, actions));
    assertThrows(
        NullPointerException.class, () -> policy.on(new WatchFailed(), dispatcher.now, null));
  }

  @Test
  void timeMustNotRunBackwards() {
    assertThrows(
        IllegalArgumentException.class,
        () -> policy.on(new WatchFailed(), dispatcher.now - 1, actions));
  }

  @Test
  void aSecondStartNeedsAStop() {
    assertThrows(
        IllegalStateException.class, () -> dispatcher.handle(new Start(1, dispatcher.settings)));
  }

  @Test
  void theFirstEventMustBeAStart() {
    assertThrows(
        IllegalStateException.class, () -> new DispatchPolicy().on(new WatchFailed(), 0, actions));
  }

  @Test
  void aStopForgetsTheWorkers() {
    DispatcherHarness restarted = DispatcherHarness.withWorkers(20);

    restarted.handle(new Stop());
    restarted.handle(new Start(2, restarted.settings));

    assertTrue(attempts(restarted.arrive("a", "key", DispatcherHarness.READ)).isEmpty());
  }

  @Test
  void eventsOfUnknownRequestsAndTimersAreIgnored() {
    DispatcherHarness listed = DispatcherHarness.withWorkers(20);

    assertTrue(listed.endAttempt("never", 0, "w01", AttemptOutcome.OK).isEmpty());
    assertTrue(listed.handle(new AttemptProgressed("never", 3)).isEmpty());
    assertTrue(listed.handle(new RequestCancelled("never")).isEmpty());
    assertTrue(listed.handle(new TimerFired(12345)).isEmpty());
    assertTrue(listed.handle(new HealthChecked("w01", AttemptOutcome.OK, 10, null)).isEmpty());
  }

  @Test
  void eventsOfUnknownAndEndedAttemptsAreIgnored() {
    DispatcherHarness listed = DispatcherHarness.withWorkers(20);
    String worker = listed.workerFor("a", "key", DispatcherHarness.READ);

    List<Action> unknown = listed.handle(new AttemptProgressed("a", 7));
    listed.endAttempt("a", 0, worker, AttemptOutcome.OK);
    List<Action> ended = listed.endAttempt("a", 0, worker, AttemptOutcome.ERROR);

    assertTrue(unknown.isEmpty());
    assertTrue(ended.isEmpty());
  }

  @Test
  void everyTypeOfEventIsHandled() {
    List<Event> events =
        List.of(
            new Event.EndpointSnapshot(DispatcherHarness.endpoints(2)),
            new Event.EndpointUpdate(DispatcherHarness.endpoints(3)),
            new WatchFailed(),
            dispatcher.request("a", "key", DispatcherHarness.READ, Double.NaN),
            new AttemptProgressed("a", 0),
            new Event.AttemptEnded("a", 0, "w00", AttemptOutcome.OK, true, 1000, null),
            new RequestCancelled("a"),
            new HealthChecked("w00", AttemptOutcome.OK, 10, null),
            new Event.WorkerDisabled("w00"),
            new Event.WorkerEnabled("w00"),
            new Event.CapacityFractionChanged(0.5),
            new TimerFired(PolicyState.POLL_TIMER),
            new Stop(),
            new Start(3, dispatcher.settings));

    for (Event event : events) {
      assertDoesNotThrow(() -> dispatcher.handle(event));
    }

    Set<Class<?>> handled = events.stream().map(Event::getClass).collect(Collectors.toSet());
    assertEquals(Set.of(Event.class.getPermittedSubclasses()), handled);
  }
}
