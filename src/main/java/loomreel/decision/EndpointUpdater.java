package loomreel.decision;

import java.util.List;
import loomreel.decision.Action.PollEndpoints;
import loomreel.decision.Action.SetTimer;

/** Keeps the table of workers in line with the endpoint list and with what operators say. */
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

  /** Polls the list, since the timer for that has fired. */
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

  /** From here on nothing new goes to a worker that drains or is gone; a restarted one is new. */
  void update(List<Endpoint> endpoints) {
    for (Endpoint endpoint : endpoints) {
      WorkerState worker = state.workers.getOrAdd(endpoint.id());
      if (worker.endpoint == null || endpoint.startedAt() > worker.endpoint.startedAt()) {
        // Dispatchers hear of it together: their first sends must not come together.
        double allowance = context.random().nextDouble() * state.slowStart.meanLightCost();
        worker.restart(context.now(), allowance);
        worker.enabledAt = 0;
      }
      worker.endpoint = endpoint;
    }
    pollBackoff.pollSucceeded();
    state.workers.dropRemoved();
    state.workers.rebuildPools();
  }

  /**
   * Operators restart what they disable, so the worker warms up: from now on, unless the list has
   * told of a start since it was disabled. One job of any class may go there at once.
   */
  void enable(String workerId) {
    if (!state.workers.isDisabled(workerId)) {
      return;
    }
    long disabledSince = state.workers.enable(workerId);
    WorkerState worker = state.workers.get(workerId);
    if (worker != null) {
      worker.restart(context.now(), state.times.largestMeanWork());
      boolean hasRestarted = worker.endpoint.startedAt() > disabledSince;
      worker.enabledAt = hasRestarted ? 0 : context.now();
    }
    state.workers.rebuildPools();
  }
}
