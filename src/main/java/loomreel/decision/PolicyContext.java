package loomreel.decision;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The context that the components of the policy share while they handle one event: the settings,
 * the source of random numbers, the time of the event, and the list to which actions are added.
 */
final class PolicyContext {
  private final Settings settings;
  private final SplittableRandom random;
  private long now;
  private List<Action> actions;

  PolicyContext(Settings settings, SplittableRandom random) {
    this.settings = settings;
    this.random = random;
  }

  /** Begins the handling of an event. */
  void beginEvent(long now, List<Action> actions) {
    this.now = now;
    this.actions = actions;
  }

  Settings settings() {
    return settings;
  }

  SplittableRandom random() {
    return random;
  }

  /** Returns the time of the current event, in microseconds. */
  long now() {
    return now;
  }

  /**
   * Adds an action to the list. The dispatcher executes the actions in the order in which they were
   * added.
   */
  void emit(Action action) {
    actions.add(action);
  }

  /**
   * Sets a timer of a request. The timer fires at the given time, or at once if that time has
   * passed.
   */
  void setTimer(PendingRequest request, long time) {
    emit(new Action.SetTimer(Math.max(now, time), request.token));
  }
}
