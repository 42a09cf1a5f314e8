package loomreel.decision;

import java.util.List;
import loomreel.decision.Action.PollEndpoints;
import loomreel.decision.Action.SetTimer;

/**
 * Applies endpoint lists and the commands of operators to the table of workers, and schedules the
 * polls of discovery.
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

  /** Schedules the first poll of the endpoint list if the list has to be polled. */
  void start() {
    schedulePoll(pollBackoff.firstPollAt(context.now(), context.random()));
  }

  /** Polls the endpoint list. Called when the poll timer fires. */
  void poll() {
    pollBackoff.pollStarted(context.now());
    context.emit(new PollEndpoints());
  }

  /** Schedules the next poll after a poll has failed. */
  void pollFailed() {
    schedulePoll(pollBackoff.nextPollAt(context.now(), context.random()));
  }

  private void schedulePoll(long time) {
    if (context.settings().pollsEndpoints()) {
      context.emit(new SetTimer(time, PolicyState.POLL_TIMER));
    }
  }

  /**
   * Applies changes of the endpoint list. A worker that drains or was removed receives no new
   * attempts from now on. A worker that has restarted is treated as new.
   */
  void update(List<Endpoint> endpoints) {
    for (Endpoint endpoint : endpoints) {
      WorkerState worker = state.workers.getOrAdd(endpoint.id());
      if (worker.isReplacedBy(endpoint)) {
        // All dispatchers learn of a new worker at about the same time. The random allowance
        // spreads their first attempts.
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
   * Enables a worker that an operator has disabled. Operators restart the workers that they
   * disable, so the worker warms up. The warm-up begins now, unless the endpoint list has reported
   * a start of the worker since it was disabled. One job of mean run time of any class may be sent
   * to the worker at once. Does nothing if the worker is not disabled.
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
