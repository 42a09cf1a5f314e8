package loomreel.decision;

import loomreel.decision.Settings.RequestClass;
import loomreel.decision.Settings.Tenant;

/**
 * Sets the deadlines of new requests, applies the quotas of tenants, and determines the final
 * answer to a request that is given up. Times are in microseconds.
 */
final class AdmissionController {
  /**
   * The load threshold for a request that exceeds the quota of its tenant, as a fraction of a
   * worker's slots. It is lower than {@link WorkerSelector#FULL_THRESHOLD}, so that the request is
   * sent only to a worker with a low load.
   */
  private static final double OVER_QUOTA_LOAD_THRESHOLD = 0.5;

  /**
   * The factor by which a tenant may exceed the equal share of its quota at one dispatcher. The
   * equal share is the quota divided by the number of dispatchers. Traffic differs between zones,
   * so some dispatchers receive more than an equal share.
   */
  private static final double QUOTA_HEADROOM_FACTOR = 1.3;

  /**
   * The time, in seconds, for which a tenant may accumulate unused quota. The maximum burst of a
   * tenant is the quota for this time, plus {@link #BASE_BURST_REQUESTS}.
   */
  private static final double BURST_SECONDS = 2;

  /**
   * The number of requests that a tenant may send in a burst in addition to its quota for {@link
   * #BURST_SECONDS}.
   */
  private static final double BASE_BURST_REQUESTS = 3;

  private static final double MICROS_PER_SECOND = 1e6;

  /**
   * The work that is assumed for a job if its request announces none, as a fraction of the mean run
   * time of its class.
   */
  private static final double DEFAULT_WORK_FRACTION = 0.4;

  /**
   * The time between the answer deadline of a request and the client's deadline, in ticks of the
   * dispatcher.
   */
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
   * Sets the deadlines of a new request. The latency objective counts from the client's first
   * attempt. It is met if the job starts before the objective start deadline, which is not later
   * than the client's deadline. If the request's class gives no value to a late answer, the
   * objective start deadline is also the start deadline. Otherwise the start deadline is the
   * client's deadline. {@link RequestDeadlines} describes the deadlines.
   */
  void setDeadlines(PendingRequest request) {
    RequestClass requestClass = request.requestClass;
    long deadline = request.arrival.deadline();
    long firstAttemptAt =
        firstAttemptEstimator.firstAttemptAt(request.arrival, requestClass, context.now());
    long objectiveStartDeadline = Math.min(deadline, firstAttemptAt + maxStartDelay(request));
    boolean hasLateValue = requestClass.latePriorityFraction() > 0;
    long startDeadline = hasLateValue ? deadline : objectiveStartDeadline;
    long answerDeadline = deadline - ANSWER_MARGIN_TICKS * context.settings().tick();
    request.setDeadlines(
        new RequestDeadlines(objectiveStartDeadline, startDeadline, answerDeadline));
  }

  /**
   * Returns the maximum time between the client's first attempt and the start of the job. If the
   * job starts later, it does not meet its latency objective.
   */
  private long maxStartDelay(PendingRequest request) {
    RequestClass requestClass = request.requestClass;
    double announcedWork = request.arrival.expectedWork();
    double meanRunTime = serviceTimes.meanRunTime(request.arrival.classIndex());
    double work = Double.isNaN(announcedWork) ? DEFAULT_WORK_FRACTION * meanRunTime : announcedWork;
    // At speed 1, the job runs for 1 unit of time per unit of work. The objective allows more time
    // per unit of work. The difference is available for the delay before the start.
    double slackPerWork = Math.max(0, requestClass.latencyObjectivePerWork() - 1);
    return requestClass.latencyObjective() + (long) (work * slackPerWork);
  }

  /**
   * Counts a request against the quota of its tenant. If the request exceeds the quota, its load
   * threshold becomes {@link #OVER_QUOTA_LOAD_THRESHOLD}. If the tenant is unknown, no quota
   * applies.
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

  /**
   * Returns the reason for giving up a request whose job has not started before its start deadline.
   */
  RejectionReason expirationReason(PendingRequest request) {
    if (!request.attempts().isEmpty()) {
      return RejectionReason.NOT_STARTED_IN_TIME;
    }
    boolean hasEligibleWorker = workers.pool(request).length > 0;
    return hasEligibleWorker
        ? RejectionReason.NO_CAPACITY_IN_TIME
        : RejectionReason.NO_ELIGIBLE_WORKER;
  }

  /**
   * Returns whether a request exceeded the quota of its tenant on arrival. The load threshold of
   * the request shows this.
   */
  boolean isOverQuota(PendingRequest request) {
    return request.loadThreshold() < WorkerSelector.FULL_THRESHOLD;
  }

  /**
   * Returns the final answer to a request that is given up, and records the rejection for the
   * estimate of first attempts.
   *
   * <p>The request is rejected if it is valid and the client can safely send it again. This is safe
   * if the request is idempotent or no attempt of it ran. A keyed request does not count as
   * idempotent here. If the deployment allows it, the rejection names a time to wait before a
   * retry, because an immediate retry would meet the same load. All other requests are failed,
   * because they are invalid or may have run.
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
