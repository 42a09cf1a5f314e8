package loomreel.decision;

import loomreel.decision.Event.AttemptEnded;
import loomreel.decision.Event.HealthChecked;
import loomreel.decision.Settings.LoadReporting;

/** Updates estimates and workers from the outcomes of attempts and health checks. */
final class OutcomeRecorder {
  /** The load that is assumed of a worker that has rejected an attempt as full. */
  private static final double LOAD_WHEN_FULL = 2;

  /** A start that takes longer than this part of the start timeout shows a loaded worker. */
  private static final double SLOW_START_DIVISOR = 2;

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
      boolean isSlow = startDelay > state.times.startTimeout() / SLOW_START_DIVISOR;
      state.loads.recordSample(attempt.worker, isSlow ? 1 : 0);
    }
    state.times.recordStartDelay(startDelay);
  }

  /** An attempt has ended. */
  void recordEnd(AttemptState attempt, AttemptEnded event) {
    WorkerState worker = attempt.worker;
    attempt.end(event.outcome());
    worker.removeAttempt(attempt, context.now());
    state.loads.recordReport(worker, event.load());
    switch (event.outcome()) {
      case OK -> recordServed(attempt, event.duration());
      case ERROR, INVALID, RESET -> worker.recordReachable(context.now());
      case REJECTED -> {
        worker.recordReachable(context.now());
        state.loads.recordSample(worker, LOAD_WHEN_FULL);
        ejector.ejectFull(worker);
      }
      case CONNECT_FAILED, TIMEOUT -> ejector.ejectSilent(worker, event.outcome());
      case CANCELLED, NOT_ATTEMPTED -> recordCancelled(attempt, event.outcome());
    }
  }

  private void recordServed(AttemptState attempt, long duration) {
    attempt.worker.recordReachable(context.now());
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
    // A client that disconnects at once is no evidence against the worker.
    boolean isSilent = attempt.worker.lastResponseAt() < attempt.sentAt;
    if (isSilent && waited > state.times.meanRunTime()) {
      ejector.ejectSilent(attempt.worker, outcome);
    }
  }

  /** A health check has ended. */
  void recordHealthCheck(WorkerState worker, HealthChecked event) {
    if (event.outcome() == AttemptOutcome.OK) {
      worker.recordResponse(context.now());
      state.loads.recordReport(worker, event.load());
      state.times.recordHealthCheck(event.duration());
    } else if (event.outcome() != AttemptOutcome.RESET) {
      // A machine that is up has sent the reset; if its process is down, the next attempt fails.
      ejector.ejectSilent(worker, event.outcome());
    }
  }
}
