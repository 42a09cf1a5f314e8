package loomreel.decision;

import java.util.List;
import loomreel.decision.Event.AttemptEnded;
import loomreel.decision.Event.AttemptProgressed;
import loomreel.decision.Event.CapacityFractionChanged;
import loomreel.decision.Event.EndpointSnapshot;
import loomreel.decision.Event.EndpointUpdate;
import loomreel.decision.Event.HealthChecked;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Event.RequestCancelled;
import loomreel.decision.Event.TimerFired;
import loomreel.decision.Event.WatchFailed;
import loomreel.decision.Event.WorkerDisabled;
import loomreel.decision.Event.WorkerEnabled;

/**
 * Handles the events of one dispatcher from its start to its stop: brings the state up to date,
 * then has the {@link RequestScheduler} act on it.
 */
final class PolicyEventHandler implements Event.Handler {
  private final PolicyContext context;
  private final PolicyState state;
  private final EndpointUpdater endpoints;
  private final OutcomeRecorder outcomes;
  private final AttemptCanceller canceller;
  private final RequestScheduler scheduler;

  PolicyEventHandler(PolicyState state) {
    this.state = state;
    context = state.context;
    endpoints = new EndpointUpdater(state);
    outcomes = new OutcomeRecorder(state);
    canceller = new AttemptCanceller(context);
    scheduler = new RequestScheduler(state, canceller);
    endpoints.start();
  }

  @Override
  public void onEndpointSnapshot(EndpointSnapshot event) {
    state.workers.markAllRemoved();
    updateEndpoints(event.endpoints());
  }

  @Override
  public void onEndpointUpdate(EndpointUpdate event) {
    updateEndpoints(event.endpoints());
  }

  private void updateEndpoints(List<Endpoint> update) {
    endpoints.update(update);
    update.forEach(scheduler::retryQueueIfPulled);
  }

  @Override
  public void onWatchFailed(WatchFailed event) {
    endpoints.pollFailed();
  }

  @Override
  public void onWorkerDisabled(WorkerDisabled event) {
    state.workers.disable(event.workerId(), context.now());
  }

  @Override
  public void onWorkerEnabled(WorkerEnabled event) {
    endpoints.enable(event.workerId());
  }

  @Override
  public void onCapacityFractionChanged(CapacityFractionChanged event) {
    state.slowStart.setCapacityFraction(event.fraction());
  }

  @Override
  public void onRequestArrived(RequestArrived event) {
    Settings.RequestClass requestClass = context.settings().classes().get(event.classIndex());
    PendingRequest request = state.requests.add(event, requestClass);
    state.slowStart.recordArrival(request);
    scheduler.admit(request);
  }

  @Override
  public void onRequestCancelled(RequestCancelled event) {
    PendingRequest request = state.requests.get(event.requestId());
    if (request != null) {
      scheduler.endWithoutAnswer(request);
    }
  }

  @Override
  public void onAttemptProgressed(AttemptProgressed event) {
    AttemptState attempt = state.requests.openAttempt(event.requestId(), event.attemptNumber());
    if (attempt == null) {
      return;
    }
    attempt.worker.recordReachable(context.now());
    if (!attempt.hasStarted()) {
      outcomes.recordStart(attempt);
      canceller.cancelUnstarted(attempt.request);
    }
  }

  @Override
  public void onAttemptEnded(AttemptEnded event) {
    AttemptState attempt = state.requests.openAttempt(event.requestId(), event.attemptNumber());
    if (attempt == null) {
      return;
    }
    outcomes.recordEnd(attempt, event);
    if (event.answered()) {
      scheduler.endWithoutAnswer(attempt.request);
    } else {
      scheduler.retryOrGiveUp(attempt.request);
    }
    state.requests.removeIfComplete(attempt.request);
    scheduler.retryQueueIfPulled(attempt.worker.endpoint());
  }

  @Override
  public void onHealthChecked(HealthChecked event) {
    WorkerState worker = state.workers.get(event.workerId());
    if (worker != null) {
      worker.healthCheckEnded();
      outcomes.recordHealthCheck(worker, event);
      scheduler.placeAfterHealthCheck(worker);
    }
  }

  @Override
  public void onTimerFired(TimerFired event) {
    if (event.token() == PolicyState.POLL_TIMER) {
      endpoints.poll();
    } else if (event.token() == PolicyState.QUEUE_TIMER) {
      scheduler.retryQueueAndReschedule();
    } else {
      PendingRequest request = state.requests.byToken(event.token());
      if (request != null) {
        scheduler.review(request);
      }
    }
  }
}
