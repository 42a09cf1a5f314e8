package loomreel.decision;

import loomreel.decision.Settings.RequestClass;
import loomreel.decision.Settings.Tenant;

/**
 * Decides until when an answer to a request is worth something, whether its tenant is within its
 * quota, and how a request that is given up is answered.
 */
final class AdmissionController {
  /** Load threshold of a tenant beyond its quota: its requests go to workers this idle. */
  private static final double OVER_QUOTA_THRESHOLD = 0.5;

  /** A tenant's bucket fills by an equal share of its quota times this: zones differ. */
  private static final double QUOTA_HEADROOM = 1.3;

  /** Part of the mean work of a class that must still be in time, if a job announces none. */
  private static final double TYPICAL_WORK = 0.4;

  private final PolicyContext context;
  private final WorkerTable workers;
  private final ServiceTimeEstimator times;
  private final LoadEstimator loads;
  private final FirstAttemptEstimator firstAttempts;
  private final TokenBucket[] tenantBuckets;

  AdmissionController(PolicyState state) {
    context = state.context;
    workers = state.workers;
    times = state.times;
    loads = state.loads;
    Settings settings = context.settings();
    firstAttempts =
        new FirstAttemptEstimator(settings.clientsMarkRetries(), Time.RATE_TIME_CONSTANT);
    tenantBuckets =
        settings.tenants().stream().map(tenant -> new TokenBucket()).toArray(TokenBucket[]::new);
  }

  /** Sets the times after which an answer to a new request is worth less, and nothing. */
  void setDeadlines(PendingRequest request) {
    RequestClass requestClass = request.requestClass;
    long deadline = request.arrival.deadline();
    double announced = request.arrival.expectedWork();
    double meanRunTime = times.meanRunTime(request.arrival.classIndex());
    double work = Double.isNaN(announced) ? TYPICAL_WORK * meanRunTime : announced;
    long slack =
        requestClass.latencyObjective()
            + (long) (work * Math.max(0, requestClass.latencyObjectivePerWork() - 1));
    long firstAttemptAt =
        firstAttempts.firstAttemptAt(request.arrival, requestClass, context.now());
    request.fullValueUntil = Math.min(deadline, firstAttemptAt + slack);
    boolean hasLateValue = requestClass.latePriorityFraction() > 0;
    request.giveUpAt = hasLateValue ? deadline : request.fullValueUntil;
    request.answerDeadline = deadline - 2 * context.settings().tick();
  }

  /** Takes a request from its tenant's quota; beyond it, only idle workers will do. */
  void applyQuota(PendingRequest request) {
    int tenantIndex = request.arrival.tenantIndex();
    if (tenantIndex < 0) {
      return;
    }
    Settings settings = context.settings();
    Tenant tenant = settings.tenants().get(tenantIndex);
    double equalShare = tenant.quotaPerSecond() / settings.dispatchers();
    double rate = equalShare * QUOTA_HEADROOM * loads.equalShares();
    boolean within = tenantBuckets[tenantIndex].tryAcquire(rate / 1e6, 2 * rate + 3, context.now());
    request.loadThreshold = within ? WorkerSelector.FULL_THRESHOLD : OVER_QUOTA_THRESHOLD;
  }

  /** Why a request that no worker can take at the moment is given up. */
  RejectionReason reasonWhenWorthless(PendingRequest request) {
    if (!request.attempts.isEmpty()) {
      return RejectionReason.NOT_STARTED_IN_TIME;
    }
    boolean anyWorker = workers.pool(request).length > 0;
    return anyWorker ? RejectionReason.NO_CAPACITY_IN_TIME : RejectionReason.NO_ELIGIBLE_WORKER;
  }

  boolean isOverQuota(PendingRequest request) {
    return request.loadThreshold < WorkerSelector.FULL_THRESHOLD;
  }

  /**
   * The answer to a request that is given up. Where a repetition does no harm it is a rejection
   * that says when to retry, for a client that retries at once meets the same load; what may have
   * run has failed.
   */
  Action giveUp(PendingRequest request, RejectionReason reason) {
    firstAttempts.recordRejection(reason, context.now());
    boolean harmless =
        request.idempotency == Idempotency.IDEMPOTENT
            || request.attempts.stream().allMatch(AttemptState::neverRan);
    if (!harmless) {
      return new Action.Fail(request.id(), reason);
    }
    Settings.Limits limits = context.settings().limits();
    long retryAfter = limits.retryAfter() ? limits.maxRetryAfter() : 0;
    return new Action.Reject(request.id(), retryAfter, reason);
  }
}
