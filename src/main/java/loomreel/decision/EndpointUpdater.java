package loomreel.decision;

import java.util.List;
import loomreel.decision.Action.PollEndpoints;
import loomreel.decision.Action.SetTimer;

/**
 * Applies endpoint lists and the commands of operators to the worker table, and schedules the polls
 * of discovery.
 */
final class EndpointUpdater {
  private final PolicyState state;
  private final PolicyContext context;
  private final PollBackoff pollBackoff;

  EndpointUpdater(PolicyState state) {
    this.state = state;
    context = state.context;
    pollBackoff = new PollBackoff(context.settings().rules());
  }

  /** Schedules the first poll of the endpoint list. Schedules no poll if the list is pushed. */
  void start() {
    schedulePoll(pollBackoff.firstPollAt(context.now(), context.random()));
  }

  /** Polls the endpoint list. Must be called when the poll timer fires. */
  void poll() {
    pollBackoff.pollStarted(context.now());
    context.emit(new PollEndpoints());
  }

  /** Schedules the next poll after a poll has failed. Schedules no poll if the list is pushed. */
  void pollFailed() {
    schedulePoll(pollBackoff.nextPollAt(context.now(), context.random()));
  }

  private void schedulePoll(long time) {
    if (context.settings().pollsEndpoints()) {
      context.emit(new SetTimer(time, PolicyState.POLL_TIMER));
    }
  }

  /**
   * Applies changes of the endpoint list and resets the poll backoff. A worker that drains or was
   * removed receives no new attempts from now on. If a worker is new or its process has restarted,
   * the state of the worker is reset. Its warm-up counts from the start time in its entry.
   */
  void update(List<Endpoint> endpoints) {
    for (Endpoint endpoint : endpoints) {
      WorkerState worker = state.workers.getOrAdd(endpoint.id());
      if (worker.isReplacedBy(endpoint)) {
        // All dispatchers receive the entry of a new worker at about the same time. The random
        // initial allowance spreads their first attempts over time.
        double initialAllowance = context.random().nextDouble() * state.slowStart.meanLightWork();
        worker.restart(context.now(), initialAllowance);
      }
      worker.update(endpoint);
    }
    pollBackoff.pollSucceeded();
    state.workers.dropRemoved();
    state.workers.rebuildPools();
  }

  /**
   * Enables a worker that an operator has disabled. Does nothing if the worker is not disabled.
   *
   * <p>Operators restart the workers that they disable, so the state of the worker is reset and the
   * worker warms up. If the start time in the worker's entry is later than the time at which the
   * worker was disabled, the warm-up began at that start time. Otherwise the warm-up begins now.
   * The initial slow-start allowance is the longest of the mean run times of the classes. This
   * allowance usually suffices to send one job with one slot to the worker at once, whatever its
   * class is.
   */
  void enable(String workerId) {
    if (!state.workers.isDisabled(workerId)) {
      return;
    }
    long disabledSince = state.workers.enable(workerId);
    WorkerState worker = state.workers.get(workerId);
    if (worker != null) {
      worker.restart(context.now(), state.serviceTimes.longestMeanRunTime());
      boolean hasRestarted = worker.endpoint().startedAt() > disabledSince;
      if (!hasRestarted) {
        worker.startWarmUp(context.now());
      }
    }
    state.workers.rebuildPools();
  }
}
