package loomreel.decision;

import loomreel.decision.Settings.RequestClass;
import loomreel.decision.Settings.Tenant;

/**
 * Sets the deadlines of new requests, applies the quotas of tenants, and determines the final
 * answer to a request that is given up. Times are in microseconds.
 */
final class AdmissionController {
  /**
   * The load threshold of a request beyond the quota of its tenant, as a fraction of a worker's
   * slots. It is lower than {@link WorkerSelector#FULL_THRESHOLD}, so that such a request is sent
   * only to a worker with a low load.
   */
  private static final double OVER_QUOTA_LOAD_THRESHOLD = 0.5;

  /**
   * The factor by which a tenant may exceed a dispatcher's equal share of its quota. Traffic
   * differs between zones, so some dispatchers receive more than an equal share.
   */
  private static final double QUOTA_HEADROOM_FACTOR = 1.3;

  /**
   * The time, in seconds, over which a tenant may accumulate unused quota. Together with {@link
   * #BASE_BURST_REQUESTS}, it sets the maximum burst of a tenant.
   */
  private static final double BURST_SECONDS = 2;

  /**
   * The number of requests that a tenant may send in a burst in addition to those that its quota
   * allows over {@link #BURST_SECONDS}.
   */
  private static final double BASE_BURST_REQUESTS = 3;

  private static final double MICROS_PER_SECOND = 1e6;

  /**
   * The assumed work of a job whose request announces none, as a fraction of the mean run time of
   * its class.
   */
  private static final double DEFAULT_WORK_FRACTION = 0.4;

  /** The time between the answer deadline and the client's deadline, in ticks of the dispatcher. */
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

  /**
   * Sets the deadlines of a new request. The answer has its full value if the job starts early
   * enough to meet its latency objective, which counts from the client's first attempt. If the
   * request's class gives no value to a late answer, the request is given up at that time.
   */
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

  /**
   * Returns the maximum time between the client's first attempt and the start of the job for which
   * the job still meets its latency objective.
   */
  private long maxStartDelay(PendingRequest request) {
    RequestClass requestClass = request.requestClass;
    double announcedWork = request.arrival.expectedWork();
    double meanRunTime = serviceTimes.meanRunTime(request.arrival.classIndex());
    double work = Double.isNaN(announcedWork) ? DEFAULT_WORK_FRACTION * meanRunTime : announcedWork;
    // The job's own run takes 1 unit of time per unit of work. The remainder of the objective per
    // unit of work is available for the delay before the start.
    double slackPerWork = Math.max(0, requestClass.latencyObjectivePerWork() - 1);
    return requestClass.latencyObjective() + (long) (work * slackPerWork);
  }

  /**
   * Counts a request against the quota of its tenant and sets its load threshold. A request beyond
   * the quota may be sent only to workers below {@link #OVER_QUOTA_LOAD_THRESHOLD}. A request
   * without a known tenant has no quota.
   */
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

  /** Returns the reason for giving up a request for which no worker was available in time. */
  RejectionReason expirationReason(PendingRequest request) {
    if (!request.attempts().isEmpty()) {
      return RejectionReason.NOT_STARTED_IN_TIME;
    }
    boolean hasEligibleWorker = workers.pool(request).length > 0;
    return hasEligibleWorker
        ? RejectionReason.NO_CAPACITY_IN_TIME
        : RejectionReason.NO_ELIGIBLE_WORKER;
  }

  /** Returns whether a request exceeded the quota of its tenant when it arrived. */
  boolean isOverQuota(PendingRequest request) {
    return request.loadThreshold() < WorkerSelector.FULL_THRESHOLD;
  }

  /**
   * Returns the final answer to a request that is given up, and records the rejection for the
   * estimate of first attempts. The request is rejected if the client can safely send it again,
   * that is, if it is idempotent or if no attempt of it ran. The rejection then includes a time to
   * wait before a retry, if the deployment allows one, because an immediate retry would meet the
   * same load. A request that may have run is failed, and so is an invalid one.
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
