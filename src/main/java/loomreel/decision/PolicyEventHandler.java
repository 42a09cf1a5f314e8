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
 * Handles the events of one dispatcher from its start to its stop. Each event first updates the
 * state of the policy. If the event affects requests, the {@link RequestScheduler} then decides
 * about them.
 */
final class PolicyEventHandler {
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

  /**
   * Handles one event other than a start or a stop.
   *
   * @throws IllegalStateException if the type of the event is not handled here
   */
  void handle(Event event) {
    if (event instanceof AttemptEnded end) {
      onAttemptEnded(end);
    } else if (event instanceof TimerFired timer) {
      onTimerFired(timer);
    } else if (event instanceof RequestArrived arrival) {
      onRequestArrived(arrival);
    } else if (event instanceof AttemptProgressed progress) {
      onAttemptProgressed(progress);
    } else if (event instanceof HealthChecked check) {
      onHealthChecked(check);
    } else if (event instanceof RequestCancelled cancellation) {
      onRequestCancelled(cancellation);
    } else if (event instanceof EndpointUpdate update) {
      updateEndpoints(update.endpoints());
    } else if (event instanceof EndpointSnapshot snapshot) {
      onEndpointSnapshot(snapshot);
    } else if (event instanceof WatchFailed) {
      endpoints.pollFailed();
    } else if (event instanceof WorkerDisabled disabled) {
      state.workers.disable(disabled.workerId(), context.now());
    } else if (event instanceof WorkerEnabled enabled) {
      endpoints.enable(enabled.workerId());
    } else if (event instanceof CapacityFractionChanged change) {
      state.slowStart.setProcessShare(change.fraction());
    } else {
      throw new IllegalStateException("unknown event: " + event);
    }
  }

  private void onEndpointSnapshot(EndpointSnapshot event) {
    state.workers.markAllRemoved();
    updateEndpoints(event.endpoints());
  }

  private void updateEndpoints(List<Endpoint> update) {
    endpoints.update(update);
    update.forEach(scheduler::retryQueueForPullWorker);
  }

  private void onRequestArrived(RequestArrived event) {
    Settings.RequestClass requestClass = context.settings().classes().get(event.classIndex());
    PendingRequest request = state.requests.add(event, requestClass);
    state.slowStart.recordArrival(request);
    scheduler.admit(request);
  }

  private void onRequestCancelled(RequestCancelled event) {
    PendingRequest request = state.requests.get(event.requestId());
    if (request != null) {
      scheduler.endWithoutAnswer(request);
    }
  }

  private void onAttemptProgressed(AttemptProgressed event) {
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

  private void onAttemptEnded(AttemptEnded event) {
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
    scheduler.retryQueueForPullWorker(attempt.worker.endpoint());
  }

  private void onHealthChecked(HealthChecked event) {
    WorkerState worker = state.workers.get(event.workerId());
    if (worker != null) {
      worker.recordHealthCheckEnded();
      outcomes.recordHealthCheck(worker, event);
      scheduler.placeAfterHealthCheck(worker);
    }
  }

  private void onTimerFired(TimerFired event) {
    if (event.token() == PolicyState.POLL_TIMER) {
      endpoints.poll();
    } else if (event.token() == PolicyState.QUEUE_TIMER) {
      scheduler.retryQueueAndReschedule();
    } else {
      PendingRequest request = state.requests.byToken(event.token());
      if (request != null) {
        scheduler.handleRequestTimer(request);
      }
    }
  }
}
