package loomreel.decision;

import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;

/**
 * Every decision of one dispatcher: it takes events and answers with actions. It knows no sockets
 * and reads no clock. For use by one thread.
 *
 * <p>{@link RequestScheduler} places requests, {@link WorkerSelector} chooses workers, {@link
 * RetryPolicy} decides what may be repeated, {@link AdmissionController} what is rejected and
 * {@link HealthCheckPolicy} whose load is queried.
 */
public final class DispatchPolicy {
  private PolicyState state;
  private PolicyEventHandler handler;
  private PolicyContext context;
  private boolean started;

  /** Creates the policy of a dispatcher that has not started. */
  public DispatchPolicy() {}

  /**
   * Takes in one event and adds what the dispatcher does about it to the actions, in order.
   *
   * @param event what happened
   * @param now the clock in microseconds
   * @param actions where actions are added
   * @throws NullPointerException if the event or the list is null
   * @throws IllegalArgumentException if time runs backwards
   * @throws IllegalStateException if the first event is not a start, or on a second start without a
   *     stop
   */
  public void on(Event event, long now, List<Action> actions) {
    Objects.requireNonNull(event, "event");
    Objects.requireNonNull(actions, "actions");
    boolean isStart = event instanceof Event.Start;
    if (isStart == started) {
      throw new IllegalStateException(
          started ? "a second start without a stop" : "an event before the start");
    }
    if (started && now < context.now()) {
      throw new IllegalArgumentException("time runs backwards");
    }
    if (event instanceof Event.Start start) {
      start(start, now, actions);
    } else {
      context.beginEvent(now, actions);
      started = !(event instanceof Event.Stop);
      if (started) {
        handler.handle(event);
      }
    }
  }

  private void start(Event.Start event, long now, List<Action> actions) {
    context = new PolicyContext(event.settings(), new SplittableRandom(event.seed()));
    context.beginEvent(now, actions);
    double capacityFraction = state == null ? 1 : state.slowStart.capacityFraction();
    state = new PolicyState(context, capacityFraction);
    handler = new PolicyEventHandler(state);
    started = true;
  }

  /** How many of the listed workers are ejected or disabled at a time, in microseconds. */
  public int ejectedWorkers(long now) {
    return state.workers.countUnavailable(now);
  }
}
