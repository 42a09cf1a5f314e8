package loomreel.decision;

import loomreel.decision.Settings.LoadReporting;

/** Decides which workers receive a health check before a request is sent. */
final class HealthCheckPolicy {
  /**
   * The age limit of a load sample, in microseconds. The load of a worker is known if the age of
   * the worker's last load sample is below this limit. A worker whose load is known receives no
   * health check.
   */
  private static final long MAX_SAMPLE_AGE_MICROS = 400_000;

  /**
   * The age limit of a load sample, in microseconds, for the fallback candidates of a request whose
   * hashed candidates were considered before. The request is sent to the first fallback candidate
   * that has some free capacity, not to the least loaded one. This choice needs less accurate
   * loads, so older samples suffice.
   */
  private static final long MAX_SAMPLE_AGE_FOR_FALLBACK_MICROS = 4 * MAX_SAMPLE_AGE_MICROS;

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
   * Sends health checks for a request to those of its candidates whose load is not known. The
   * candidates are checked round by round. The method returns when a candidate of an earlier round
   * can be selected, when the request has to wait for health checks, or after the last round. Does
   * nothing if health checks are not allowed or workers report no load.
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

  /** Sends health checks to those candidates of one round that need a health check. */
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
   * Returns whether a worker needs a health check for a request. A worker needs none if its load is
   * known, or if the request cannot be sent to the worker whatever the result of the health check
   * is.
   *
   * @param followsHashedRound whether the worker is a fallback candidate and the hashed candidates
   *     of the request were considered before
   */
  private boolean shouldCheck(
      PendingRequest request, WorkerState worker, boolean followsHashedRound) {
    long now = context.now();
    long maxAge = followsHashedRound ? MAX_SAMPLE_AGE_FOR_FALLBACK_MICROS : MAX_SAMPLE_AGE_MICROS;
    boolean isLoadKnown = now - worker.load.sampledAt() < maxAge;
    // A warming worker needs no health check as a fallback, because its capacity is limited by its
    // slow-start allowance, not by its load.
    boolean isWarming = followsHashedRound && !slowStart.isWarm(worker, now);
    return !isLoadKnown
        && !isWarming
        && retryPolicy.allowsWorker(request, worker)
        && !worker.isEjected(now)
        && slowStart.allows(request, worker);
  }

  /**
   * Sends a health check to a worker, unless a health check of the worker is already pending or the
   * request has used up its own health checks. If a health check of the worker is then pending and
   * not overdue, the request waits for it.
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
