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
  private final RetryPolicy retries;
  private final SlowStartController slowStart;
  private final ServiceTimeEstimator times;
  private final boolean enabled;

  HealthCheckPolicy(PolicyState state, WorkerSelector selector, RetryPolicy retries) {
    this.selector = selector;
    this.retries = retries;
    context = state.context;
    slowStart = state.slowStart;
    times = state.times;
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
      if (selector.selectBefore(round, request) != null) {
        return false;
      }
      checkRound(request, round);
      request.advanceHealthCheckRound();
      if (request.awaitsHealthCheck()) {
        long timeout = times.healthCheckTimeout(request);
        context.setTimer(request, context.now() + timeout + context.settings().tick());
        return true;
      }
    }
    return false;
  }

  private void checkRound(PendingRequest request, CandidateRound round) {
    boolean isFallback =
        round == CandidateRound.FALLBACK && !request.candidates().exceedsHashedWorkers();
    for (WorkerState worker : selector.candidates(request, round)) {
      if (isWorthChecking(request, worker, isFallback)) {
        check(request, worker);
      }
    }
  }

  /** Not if its load is known, or if the request would not go there whatever the answer. */
  private boolean isWorthChecking(PendingRequest request, WorkerState worker, boolean isFallback) {
    long now = context.now();
    long maxAge = isFallback ? MAX_REPORT_AGE_FOR_FALLBACK_MICROS : MAX_REPORT_AGE_MICROS;
    boolean isKnown = now - worker.load.sampledAt() < maxAge;
    // The capacity of a warming worker is its slow-start allowance.
    boolean isWarming = isFallback && !slowStart.isWarm(worker, now);
    return !isKnown
        && !isWarming
        && retries.allowsWorker(request, worker)
        && !worker.isEjected(now)
        && slowStart.allows(request, worker);
  }

  private void check(PendingRequest request, WorkerState worker) {
    if (!worker.isHealthCheckPending() && request.takeHealthCheck()) {
      worker.healthCheckSent(context.now());
      context.emit(new Action.CheckHealth(worker.id));
    }
    boolean isAwaited =
        worker.isHealthCheckPending()
            && !worker.isHealthCheckOverdue(times.healthCheckTimeout(request), context.now());
    if (isAwaited) {
      worker.addHealthCheckWaiter(request);
    }
  }
}
