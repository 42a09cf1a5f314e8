package loomreel.decision;

import loomreel.decision.Event.AttemptEnded;
import loomreel.decision.Event.HealthChecked;
import loomreel.decision.Settings.LoadReporting;

/**
 * Updates the estimates and the states of workers from the outcomes of attempts and health checks.
 */
final class OutcomeRecorder {
  /**
   * The load that is recorded for a worker that has rejected an attempt because the worker was
   * full. The load is a fraction of the worker's slots.
   */
  private static final double FULL_WORKER_LOAD = 2;

  /**
   * The start of a job is delayed if it takes longer than the start timeout divided by this number.
   * If workers report no load, each start is recorded as a load sample: 1 if the start is delayed,
   * and 0 otherwise.
   */
  private static final double DELAYED_START_DIVISOR = 2;

  private final PolicyState state;
  private final PolicyContext context;
  private final OutlierEjector ejector;

  OutcomeRecorder(PolicyState state) {
    this.state = state;
    context = state.context;
    ejector = new OutlierEjector(state);
  }

  /** Records that a worker has reported the start of the job of an attempt. */
  void recordStart(AttemptState attempt) {
    attempt.recordStart(context.now());
    double startDelay = (double) (context.now() - attempt.sentAt);
    if (context.settings().loadReporting() == LoadReporting.NONE) {
      boolean isDelayed = startDelay > state.serviceTimes.startTimeout() / DELAYED_START_DIVISOR;
      state.workerLoads.recordSample(attempt.worker, isDelayed ? 1 : 0);
    }
    state.serviceTimes.recordStartDelay(startDelay);
  }

  /** Records the end of an attempt, and ejects its worker if the outcome requires it. */
  void recordEnd(AttemptState attempt, AttemptEnded event) {
    WorkerState worker = attempt.worker;
    attempt.recordEnd(event.outcome());
    worker.removeAttempt(attempt, context.now());
    state.workerLoads.recordReport(worker, event.load());
    switch (event.outcome()) {
      case OK -> recordServed(attempt, event.duration());
      case ERROR, INVALID, RESET -> worker.recordReachable(context.now());
      case REJECTED -> {
        worker.recordReachable(context.now());
        state.workerLoads.recordSample(worker, FULL_WORKER_LOAD);
        ejector.ejectFull(worker);
      }
      case CONNECT_FAILED, TIMEOUT -> ejector.ejectUnresponsive(worker, event.outcome());
      case CANCELLED, NOT_ATTEMPTED -> recordCancelled(attempt, event.outcome());
    }
  }

  private void recordServed(AttemptState attempt, long duration) {
    attempt.worker.recordReachable(context.now());
    long elapsed = context.now() - attempt.startedOrSentAt();
    double serviceTime = (double) (attempt.hasStarted() ? elapsed : duration);
    state.serviceTimes.recordRunTime(attempt.request, serviceTime);
    state.workerLoads.recordServed(attempt, serviceTime);
    state.slowStart.recordServed(attempt, serviceTime);
  }

  private void recordCancelled(AttemptState attempt, AttemptOutcome outcome) {
    if (attempt.hasStarted()) {
      return;
    }
    double waitTime = (double) (context.now() - attempt.sentAt);
    state.serviceTimes.recordStartDelay(waitTime);
    // A client may disconnect soon after the attempt was sent, so a short wait without a response
    // does not indicate that the worker is unresponsive. Only a longer wait does.
    boolean isUnresponsive = attempt.worker.lastResponseAt() < attempt.sentAt;
    if (isUnresponsive && waitTime > state.serviceTimes.meanRunTime()) {
      ejector.ejectUnresponsive(attempt.worker, outcome);
    }
  }

  /** Records the end of a health check, and ejects the worker if the outcome requires it. */
  void recordHealthCheck(WorkerState worker, HealthChecked event) {
    if (event.outcome() == AttemptOutcome.OK) {
      worker.recordResponse(context.now());
      state.workerLoads.recordReport(worker, event.load());
      state.serviceTimes.recordHealthCheck(event.duration());
    } else if (event.outcome() != AttemptOutcome.RESET) {
      // A reset is excluded because it shows that the worker's machine is up. If the worker's
      // process is down, the next attempt at the worker fails.
      ejector.ejectUnresponsive(worker, event.outcome());
    }
  }
}
