package loomreel.decision;

import java.util.List;
import java.util.SplittableRandom;

/**
 * What the parts of the policy share while one event is handled: the settings, the source of random
 * numbers, the clock and the list that takes the actions.
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

  /** An event is handled from here on. */
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

  /** The time of the event, in microseconds. */
  long now() {
    return now;
  }

  /** Adds an action; actions are carried out in order. */
  void emit(Action action) {
    actions.add(action);
  }

  /** Schedules the review of a request at a time, or at once if that has passed. */
  void setTimer(PendingRequest request, long time) {
    emit(new Action.SetTimer(Math.max(now, time), request.token));
  }
}
