package loomreel.decision;

import loomreel.decision.Settings.LoadReporting;

/** Decides which workers receive a health check before a request is sent. */
final class HealthCheckPolicy {
  /**
   * A worker is not checked if the age of its last load sample, in microseconds, is below this
   * limit.
   */
  private static final long MAX_REPORT_AGE_MICROS = 400_000;

  /**
   * The limit on the age of the last load sample, in microseconds, of fallback candidates that
   * follow the hashed ones. Such a candidate needs only some free capacity rather than the least
   * load, so an older sample is accurate enough.
   */
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
   * Sends health checks to the candidates of a request whose load is unknown, one round after the
   * other. Stops as soon as a candidate of an earlier round can be selected or the request has to
   * wait.
   *
   * @return whether the request waits for health checks to end
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

  /** Sends health checks to the candidates of one round that need one. */
  private void checkRound(PendingRequest request, CandidateRound round) {
    boolean followsHashedRound =
        round == CandidateRound.FALLBACK && !request.candidates().exceedsHashedWorkers();
    for (WorkerState worker : selector.candidates(request, round)) {
      if (shouldCheck(request, worker, followsHashedRound)) {
        sendOrAwaitHealthCheck(request, worker);
      }
    }
  }

  /**
   * Returns whether a worker needs a health check. It needs none if its load is known, or if the
   * request would not be sent to it whatever the result.
   */
  private boolean shouldCheck(
      PendingRequest request, WorkerState worker, boolean followsHashedRound) {
    long now = context.now();
    long maxAge = followsHashedRound ? MAX_REPORT_AGE_FOR_FALLBACK_MICROS : MAX_REPORT_AGE_MICROS;
    boolean isLoadKnown = now - worker.load.sampledAt() < maxAge;
    // The capacity of a worker that warms up is limited by its slow-start allowance, not by its
    // load.
    boolean isWarming = followsHashedRound && !slowStart.isWarm(worker, now);
    return !isLoadKnown
        && !isWarming
        && retryPolicy.allowsWorker(request, worker)
        && !worker.isEjected(now)
        && slowStart.allows(request, worker);
  }

  /**
   * Sends a health check unless one is pending or the request has used up its health checks, and
   * lets the request wait for a pending one that is not overdue.
   */
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
