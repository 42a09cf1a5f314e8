package loomreel.decision;

import java.util.List;
import loomreel.decision.Action.PollEndpoints;
import loomreel.decision.Action.SetTimer;

/** Applies the endpoint list and the commands of operators to the table of workers. */
final class EndpointUpdater {
  private final PolicyState state;
  private final PolicyContext context;
  private final PollBackoff pollBackoff;

  EndpointUpdater(PolicyState state) {
    this.state = state;
    context = state.context;
    pollBackoff = new PollBackoff(context.settings().rules());
  }

  /** Schedules the first poll of the list, where it has to be polled. */
  void start() {
    schedulePoll(pollBackoff.firstPollAt(context.now(), context.random()));
  }

  /** Polls the list; called when the timer for that has fired. */
  void poll() {
    pollBackoff.pollStarted(context.now());
    context.emit(new PollEndpoints());
  }

  /** The last poll has failed. */
  void pollFailed() {
    schedulePoll(pollBackoff.nextPollAt(context.now(), context.random()));
  }

  private void schedulePoll(long time) {
    if (context.settings().pollsEndpoints()) {
      context.emit(new SetTimer(time, PolicyState.POLL_TIMER));
    }
  }

  /**
   * Applies changes of the list: a worker that drains or was removed gets no new attempts from here
   * on, and a restarted one counts as new.
   */
  void update(List<Endpoint> endpoints) {
    for (Endpoint endpoint : endpoints) {
      WorkerState worker = state.workers.getOrAdd(endpoint.id());
      if (worker.isReplacedBy(endpoint)) {
        // Dispatchers are notified together: jitter keeps their first attempts apart.
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
   * Enables a worker. Operators restart what they disable, so it warms up: from now on, unless the
   * list has reported a start since it was disabled. One job of any class may go there at once.
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
