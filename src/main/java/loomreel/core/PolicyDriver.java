package loomreel.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import loomreel.decision.Action;
import loomreel.decision.DispatchPolicy;
import loomreel.decision.Event;
import loomreel.io.EventLoop;

/**
 * Passes events to the {@link DispatchPolicy} one at a time, and executes the actions that the
 * policy returns for each event. If the execution of an action causes another event, that event is
 * queued until all actions of the current event have been executed.
 *
 * <p>Not thread-safe: used on the event loop's thread only.
 */
final class PolicyDriver {
  private final EventLoop loop;
  private final DispatchPolicy policy = new DispatchPolicy();
  private final Consumer<Action> executor;
  private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();

  /**
   * The actions that the policy returns for the current event. The list is reused for all events.
   */
  private final List<Action> actions = new ArrayList<>();

  /** Whether an event is being handled. */
  private boolean handlingEvent;

  /**
   * Creates a driver with a policy that has not been started.
   *
   * @param executor the function that executes one action; it may submit further events
   */
  PolicyDriver(EventLoop loop, Consumer<Action> executor) {
    this.loop = loop;
    this.executor = executor;
  }

  /**
   * Passes an event to the policy. If another event is being handled, the new event is queued and
   * is passed to the policy after all events that are already queued.
   */
  void submit(Event event) {
    pendingEvents.add(event);
    if (handlingEvent) {
      return;
    }
    handlingEvent = true;
    try {
      for (Event next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
        handle(next);
      }
    } finally {
      handlingEvent = false;
    }
  }

  private void handle(Event event) {
    actions.clear();
    if (loop.trace() != null) {
      PolicyTracer.event(loop.trace(), loop.now(), event);
    }
    policy.on(event, loop.now(), actions);
    actions.forEach(this::execute);
  }

  private void execute(Action action) {
    if (loop.trace() != null) {
      PolicyTracer.action(loop.trace(), loop.now(), action);
    }
    executor.accept(action);
  }

  /** Returns whether the policy still handles the timers with a token. */
  boolean awaitsTimer(long token) {
    return policy.awaitsTimer(token);
  }

  /**
   * Returns the current number of listed workers that are ejected by the policy or disabled by
   * operators.
   */
  int ejectedWorkers() {
    return policy.ejectedWorkers(loop.now());
  }
}
