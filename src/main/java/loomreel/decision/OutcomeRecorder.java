package loomreel.decision;

import loomreel.decision.Event.AttemptEnded;
import loomreel.decision.Event.HealthChecked;
import loomreel.decision.Settings.LoadReporting;

/** Updates the estimates and the state of workers by how attempts and health checks went. */
final class OutcomeRecorder {
  /** The load that a worker counts with after it has rejected an attempt as full. */
  private static final double LOAD_WHEN_FULL = 2;

  private final PolicyState state;
  private final PolicyContext context;
  private final OutlierEjector ejector;

  OutcomeRecorder(PolicyState state) {
    this.state = state;
    context = state.context;
    ejector = new OutlierEjector(state);
  }

  /** The job of an attempt has started. */
  void recordStart(AttemptState attempt) {
    attempt.start(context.now());
    double startDelay = (double) (context.now() - attempt.sentAt);
    if (context.settings().loadReporting() == LoadReporting.NONE) {
      boolean isSlow = startDelay > state.times.startTimeout() / 2;
      state.loads.recordSample(attempt.worker, isSlow ? 1 : 0);
    }
    state.times.recordStartDelay(startDelay);
  }

  /** An attempt has ended. */
  void recordEnd(AttemptState attempt, AttemptEnded event) {
    WorkerState worker = attempt.worker;
    attempt.end(event.outcome());
    worker.openAttempts.remove(attempt);
    worker.unreportedSlots.add(-attempt.request.arrival.slots(), context.now());
    state.loads.recordReport(worker, event.load());
    switch (event.outcome()) {
      case OK -> recordServed(attempt, event.duration());
      case ERROR, RESET -> worker.heard(context.now());
      case REJECTED -> {
        worker.heard(context.now());
        state.loads.recordSample(worker, LOAD_WHEN_FULL);
        ejector.ejectFull(worker);
      }
      case CONNECT_FAILED, TIMEOUT -> ejector.ejectSilent(worker, event.outcome());
      case CANCELLED, NOT_ATTEMPTED -> recordCancelled(attempt, event.outcome());
    }
  }

  private void recordServed(AttemptState attempt, long duration) {
    attempt.worker.heard(context.now());
    long elapsed = context.now() - attempt.startedOrSentAt();
    double time = (double) (attempt.hasStarted() ? elapsed : duration);
    state.times.recordRunTime(attempt.request, time);
    state.loads.recordServed(attempt, time);
    state.slowStart.recordServed(attempt, time);
  }

  private void recordCancelled(AttemptState attempt, AttemptOutcome outcome) {
    if (attempt.hasStarted()) {
      return;
    }
    double waited = (double) (context.now() - attempt.sentAt);
    state.times.recordStartDelay(waited);
    // A client that leaves at once says nothing of the worker.
    boolean isSilent = attempt.worker.lastHeardAt < attempt.sentAt;
    if (isSilent && waited > state.times.meanRunTime()) {
      ejector.ejectSilent(attempt.worker, outcome);
    }
  }

  /** A health check has ended. */
  void recordHealthCheck(WorkerState worker, HealthChecked event) {
    if (event.outcome() == AttemptOutcome.OK) {
      worker.lastHeardAt = context.now();
      state.loads.recordReport(worker, event.load());
      state.times.recordHealthCheck(event.duration());
    } else if (event.outcome() != AttemptOutcome.RESET) {
      // A reset comes from a machine that is up; if its process were gone, the next attempt tells.
      ejector.ejectSilent(worker, event.outcome());
    }
  }
}
