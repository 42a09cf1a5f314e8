package loomreel.decision;

import loomreel.decision.Settings.LoadReporting;

/** Decides which workers have their load queried before a request is placed. */
final class HealthCheckPolicy {
  /** A worker whose last report is younger than this is not checked. */
  private static final long MAX_REPORT_AGE_MICROS = 400_000;

  /** The fallback needs any capacity, not the least load, so older reports suffice. */
  private static final long MAX_REPORT_AGE_FOR_FALLBACK_MICROS = 4 * MAX_REPORT_AGE_MICROS;

  private final PolicyContext context;
  private final WorkerSelector selector;
  private final RetryPolicy retryPolicy;
  private final SlowStartController slowStart;
  private final ServiceTimeEstimator serviceTimes;
  private final boolean enabled;

  HealthCheckPolicy(PolicyState state, WorkerSelector selector, RetryPolicy retryPolicy) {
    this.selector = selector;
    this.retryPolicy = retryPolicy;
    context = state.context;
    slowStart = state.slowStart;
    serviceTimes = state.serviceTimes;
    Settings settings = context.settings();
    enabled = settings.limits().healthChecks() && settings.loadReporting() != LoadReporting.NONE;
  }

  /**
   * Checks the candidates whose load is not known, round by round.
   *
   * @return whether the request waits for answers
   */
  boolean checkCandidates(PendingRequest request) {
    if (!enabled) {
      return false;
    }
    while (request.healthCheckRound() != null) {
      CandidateRound round = request.healthCheckRound();
      if (selector.selectBeforeRound(round, request) != null) {
        return false;
      }
      checkRound(request, round);
      request.advanceHealthCheckRound();
      if (request.awaitsHealthCheck()) {
        long timeout = serviceTimes.healthCheckTimeout(request);
        context.setTimer(request, context.now() + timeout + context.settings().tick());
        return true;
      }
    }
    return false;
  }

  private void checkRound(PendingRequest request, CandidateRound round) {
    boolean followsHashedRound =
        round == CandidateRound.FALLBACK && !request.candidates().exceedsHashedWorkers();
    for (WorkerState worker : selector.candidates(request, round)) {
      if (shouldCheck(request, worker, followsHashedRound)) {
        sendOrAwaitHealthCheck(request, worker);
      }
    }
  }

  /** Not if its load is known, or if the request would not go there whatever the answer. */
  private boolean shouldCheck(
      PendingRequest request, WorkerState worker, boolean followsHashedRound) {
    long now = context.now();
    long maxAge = followsHashedRound ? MAX_REPORT_AGE_FOR_FALLBACK_MICROS : MAX_REPORT_AGE_MICROS;
    boolean isLoadKnown = now - worker.load.sampledAt() < maxAge;
    // The capacity of a warming worker is its slow-start allowance.
    boolean isWarming = followsHashedRound && !slowStart.isWarm(worker, now);
    return !isLoadKnown
        && !isWarming
        && retryPolicy.allowsWorker(request, worker)
        && !worker.isEjected(now)
        && slowStart.allows(request, worker);
  }

  private void sendOrAwaitHealthCheck(PendingRequest request, WorkerState worker) {
    if (!worker.isHealthCheckPending() && request.tryAcquireHealthCheck()) {
      worker.recordHealthCheckSent(context.now());
      context.emit(new Action.CheckHealth(worker.id));
    }
    boolean isAwaited =
        worker.isHealthCheckPending()
            && !worker.isHealthCheckOverdue(
                serviceTimes.healthCheckTimeout(request), context.now());
    if (isAwaited) {
      worker.addHealthCheckWaiter(request);
    }
  }
}
