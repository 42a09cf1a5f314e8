package loomreel.decision;

import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;

/**
 * Makes the decisions of one dispatcher. The policy takes events and returns actions. It uses no
 * sockets and reads no clock. It is not thread-safe.
 *
 * <p>{@link RequestScheduler} sends and queues requests, {@link WorkerSelector} selects workers,
 * {@link RetryPolicy} decides which attempts are allowed, {@link AdmissionController} sets the
 * deadlines of requests, applies quotas and determines rejections, and {@link HealthCheckPolicy}
 * decides which workers receive health checks.
 */
public final class DispatchPolicy {
  private PolicyState state;
  private PolicyEventHandler handler;
  private PolicyContext context;
  private boolean started;

  /** Creates a policy that has not started. */
  public DispatchPolicy() {}

  /**
   * Handles one event. The resulting actions are appended to a list in the order in which they are
   * to be executed.
   *
   * @param event the event; it must be a start if the policy has not started or was stopped
   * @param now the current time of the dispatcher's clock, in microseconds
   * @param actions the list to which the actions are appended
   * @throws NullPointerException if the event or the list is null
   * @throws IllegalArgumentException if the policy has started and the time is earlier than that of
   *     the previous event
   * @throws IllegalStateException if the policy has not started or was stopped and the event is not
   *     a start, or if the policy has started and the event is a start
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
    double processShare = state == null ? 1 : state.slowStart.processShare();
    state = new PolicyState(context, processShare);
    handler = new PolicyEventHandler(state);
    started = true;
  }

  /**
   * Returns the number of listed workers that are ejected or disabled at the given time. This
   * dispatcher ejects a worker for some time if the worker does not respond or is full. An operator
   * can disable a worker until further notice. The policy must have been started before.
   *
   * @param now the current time, in microseconds
   */
  public int ejectedWorkers(long now) {
    return state.workers.countUnavailable(now);
  }

  /**
   * Returns whether the policy still handles the timers with a token: a request handles its timers
   * until it has ended. The policy must have been started before.
   */
  public boolean awaitsTimer(long token) {
    return token <= PolicyState.QUEUE_TIMER || state.requests.byToken(token) != null;
  }
}
