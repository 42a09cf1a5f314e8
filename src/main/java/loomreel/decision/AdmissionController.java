package loomreel.decision;

import loomreel.decision.Settings.RequestClass;
import loomreel.decision.Settings.Tenant;

/**
 * Decides until when an answer to a request has a value, whether its tenant is within its quota,
 * and how a request that is given up is answered.
 */
final class AdmissionController {
  /** Load threshold of a tenant beyond its quota: its requests need workers that are this idle. */
  private static final double OVER_QUOTA_LOAD_THRESHOLD = 0.5;

  /** Factor on a dispatcher's equal part of a quota, since traffic differs between zones. */
  private static final double QUOTA_HEADROOM_FACTOR = 1.3;

  /** The burst that a tenant may send: its quota over this time, and a few requests more. */
  private static final double BURST_SECONDS = 2;

  private static final double BASE_BURST_REQUESTS = 3;
  private static final double MICROS_PER_SECOND = 1e6;

  /** The work of a job that announces none, as a fraction of the mean run time of its class. */
  private static final double DEFAULT_WORK_FRACTION = 0.4;

  /** Ticks before the client's deadline at which the answer is due. */
  private static final int ANSWER_MARGIN_TICKS = 2;

  private final PolicyContext context;
  private final WorkerTable workers;
  private final ServiceTimeEstimator serviceTimes;
  private final LoadEstimator workerLoads;
  private final FirstAttemptEstimator firstAttemptEstimator;
  private final TokenBucket[] tenantBuckets;

  AdmissionController(PolicyState state) {
    context = state.context;
    workers = state.workers;
    serviceTimes = state.serviceTimes;
    workerLoads = state.workerLoads;
    Settings settings = context.settings();
    firstAttemptEstimator =
        new FirstAttemptEstimator(
            settings.clientsMarkRetries(), DecayingSum.RATE_TIME_CONSTANT_MICROS);
    tenantBuckets =
        settings.tenants().stream().map(tenant -> new TokenBucket()).toArray(TokenBucket[]::new);
  }

  /** Sets the times after which an answer to a new request has less value, and none. */
  void setDeadlines(PendingRequest request) {
    RequestClass requestClass = request.requestClass;
    long deadline = request.arrival.deadline();
    long firstAttemptAt =
        firstAttemptEstimator.firstAttemptAt(request.arrival, requestClass, context.now());
    long latestFullValueStart = Math.min(deadline, firstAttemptAt + maxStartDelay(request));
    boolean hasLateValue = requestClass.latePriorityFraction() > 0;
    long startDeadline = hasLateValue ? deadline : latestFullValueStart;
    long answerDeadline = deadline - ANSWER_MARGIN_TICKS * context.settings().tick();
    request.setDeadlines(new RequestDeadlines(latestFullValueStart, startDeadline, answerDeadline));
  }

  /** How long after the client's first attempt a job may start and still meet its objective. */
  private long maxStartDelay(PendingRequest request) {
    RequestClass requestClass = request.requestClass;
    double announcedWork = request.arrival.expectedWork();
    double meanRunTime = serviceTimes.meanRunTime(request.arrival.classIndex());
    double work = Double.isNaN(announcedWork) ? DEFAULT_WORK_FRACTION * meanRunTime : announcedWork;
    // Of the objective per work, 1 is for the run itself.
    double slackPerWork = Math.max(0, requestClass.latencyObjectivePerWork() - 1);
    return requestClass.latencyObjective() + (long) (work * slackPerWork);
  }

  /** Counts a request against its tenant's quota; beyond it, only idle workers are used. */
  void applyQuota(PendingRequest request) {
    int tenantIndex = request.arrival.tenantIndex();
    if (tenantIndex < 0) {
      return;
    }
    Settings settings = context.settings();
    Tenant tenant = settings.tenants().get(tenantIndex);
    double equalShare = tenant.quotaPerSecond() / settings.dispatchers();
    double rate = equalShare * QUOTA_HEADROOM_FACTOR * workerLoads.trafficFactor();
    double capacity = BURST_SECONDS * rate + BASE_BURST_REQUESTS;
    boolean isWithinQuota =
        tenantBuckets[tenantIndex].tryAcquire(rate / MICROS_PER_SECOND, capacity, context.now());
    request.setLoadThreshold(
        isWithinQuota ? WorkerSelector.FULL_THRESHOLD : OVER_QUOTA_LOAD_THRESHOLD);
  }

  /** Why a request that no worker can take at the moment is given up. */
  RejectionReason expirationReason(PendingRequest request) {
    if (!request.attempts().isEmpty()) {
      return RejectionReason.NOT_STARTED_IN_TIME;
    }
    boolean hasEligibleWorker = workers.pool(request).length > 0;
    return hasEligibleWorker
        ? RejectionReason.NO_CAPACITY_IN_TIME
        : RejectionReason.NO_ELIGIBLE_WORKER;
  }

  boolean isOverQuota(PendingRequest request) {
    return request.loadThreshold() < WorkerSelector.FULL_THRESHOLD;
  }

  /**
   * The answer to a request that is given up. Where a repetition does no harm it is a rejection
   * that gives a time to retry, since an immediate retry would meet the same load; a request that
   * may have run fails, and so does an invalid one.
   */
  Action giveUp(PendingRequest request, RejectionReason reason) {
    firstAttemptEstimator.recordRejection(reason, context.now());
    boolean isSafeToRetry =
        request.idempotency == Idempotency.IDEMPOTENT
            || request.attempts().stream().allMatch(AttemptState::neverRan);
    boolean isInvalid = request.attempts().stream().anyMatch(AttemptState::isInvalid);
    if (!isSafeToRetry || isInvalid) {
      return new Action.Fail(request.id(), reason);
    }
    Settings.Limits limits = context.settings().limits();
    long retryAfter = limits.retryAfter() ? limits.maxRetryAfter() : 0;
    return new Action.Reject(request.id(), retryAfter, reason);
  }
}
