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

/**
 * Tests the calls on which {@link DispatchPolicy#on} throws an exception, the events that the
 * policy ignores, and a restart of the policy.
 */
class DispatchPolicyTest {
  private final DispatcherHarness dispatcher = new DispatcherHarness();
  private final DispatchPolicy policy = dispatcher.policy;
  private final List<Action> actions = new ArrayList<>();

  @Test
  void aNullEventOrActionListThrowsNullPointerException() {
    assertThrows(NullPointerException.class, () -> policy.on(null, dispatcher.nowMicros, actions));
    assertThrows(
        NullPointerException.class, () -> policy.on(new WatchFailed(), dispatcher.nowMicros, null));
  }

  @Test
  void aTimeBeforeThePreviousEventThrowsIllegalArgumentException() {
    assertThrows(
        IllegalArgumentException.class,
        () -> policy.on(new WatchFailed(), dispatcher.nowMicros - 1, actions));
  }

  @Test
  void aSecondStartWithoutAStopThrowsIllegalStateException() {
    assertThrows(
        IllegalStateException.class, () -> dispatcher.handle(new Start(1, dispatcher.settings)));
  }

  @Test
  void anEventBeforeTheStartThrowsIllegalStateException() {
    assertThrows(
        IllegalStateException.class, () -> new DispatchPolicy().on(new WatchFailed(), 0, actions));
  }

  @Test
  void aStopDiscardsTheEndpointList() {
    DispatcherHarness restarted = DispatcherHarness.withWorkers(20);

    restarted.handle(new Stop());
    restarted.handle(new Start(2, restarted.settings));

    assertTrue(
        attempts(restarted.arrive("a", "key", DispatcherHarness.IDEMPOTENT_CLASS)).isEmpty());
  }

  @Test
  void eventsOfUnknownRequestsAndTimersAndUnrequestedHealthChecksAreIgnored() {
    DispatcherHarness dispatcherWithWorkers = DispatcherHarness.withWorkers(20);

    assertTrue(dispatcherWithWorkers.endAttempt("never", 0, "w01", AttemptOutcome.OK).isEmpty());
    assertTrue(dispatcherWithWorkers.handle(new AttemptProgressed("never", 3)).isEmpty());
    assertTrue(dispatcherWithWorkers.handle(new RequestCancelled("never")).isEmpty());
    assertTrue(dispatcherWithWorkers.handle(new TimerFired(12345)).isEmpty());
    assertTrue(
        dispatcherWithWorkers
            .handle(new HealthChecked("w01", AttemptOutcome.OK, 10, null))
            .isEmpty());
  }

  @Test
  void eventsOfUnknownAndEndedAttemptsAreIgnored() {
    DispatcherHarness dispatcherWithWorkers = DispatcherHarness.withWorkers(20);
    String worker = dispatcherWithWorkers.dispatch("a", "key", DispatcherHarness.IDEMPOTENT_CLASS);

    List<Action> actionsAfterUnknownAttempt =
        dispatcherWithWorkers.handle(new AttemptProgressed("a", 7));
    dispatcherWithWorkers.endAttempt("a", 0, worker, AttemptOutcome.OK);
    List<Action> actionsAfterEndedAttempt =
        dispatcherWithWorkers.endAttempt("a", 0, worker, AttemptOutcome.ERROR);

    assertTrue(actionsAfterUnknownAttempt.isEmpty());
    assertTrue(actionsAfterEndedAttempt.isEmpty());
  }

  @Test
  void everyTypeOfEventIsHandledWithoutAnException() {
    List<Event> events =
        List.of(
            new Event.EndpointSnapshot(DispatcherHarness.endpoints(2)),
            new Event.EndpointUpdate(DispatcherHarness.endpoints(3)),
            new WatchFailed(),
            dispatcher.request("a", "key", DispatcherHarness.IDEMPOTENT_CLASS, Double.NaN),
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

    Set<Class<?>> handledTypes = events.stream().map(Event::getClass).collect(Collectors.toSet());
    assertEquals(Set.of(Event.class.getPermittedSubclasses()), handledTypes);
  }
}
