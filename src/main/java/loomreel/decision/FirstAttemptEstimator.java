package loomreel.decision;

import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;

/**
 * Estimates when the client of a request made its first attempt. The latency objective of the
 * request counts from that time. Times are in microseconds.
 *
 * <p>The deadline of a request class is the total time that a client waits, including its retries.
 * If at least this time remains until the client's deadline, the request is a first attempt. If
 * less time remains, the request is either a retry, before which the client has already waited, or
 * the first attempt of a client with a shorter timeout. The following rules distinguish these two
 * cases.
 *
 * <p>If the client marked the request as a retry, the request is a retry. If clients mark their
 * retries and this request has no mark, the request is a first attempt.
 *
 * <p>If clients do not mark their retries, the remaining time decides. If at least half of the
 * class's deadline remains, the request counts as a retry. If less time remains, the request has a
 * short time budget. It counts as a first attempt, because a client with a short timeout is more
 * likely than a late retry.
 *
 * <p>There is one exception. If this dispatcher has recently rejected many requests, late retries
 * are likely. A request with a short time budget therefore counts as a retry while the number of
 * recent rejections is at least half the number of recent requests with a short time budget. A
 * rejection with reason {@link RejectionReason#ARRIVED_TOO_LATE} is not counted. This rejection may
 * occur because a first attempt was counted as a retry. If it were counted, more first attempts
 * would be counted as retries.
 */
final class FirstAttemptEstimator {
  /**
   * A request has a short time budget if the time until the client's deadline is less than the
   * class's deadline divided by this number.
   */
  private static final int SHORT_BUDGET_DIVISOR = 2;

  /**
   * The maximum number of retries with a short time budget that one rejection is assumed to cause.
   * A request with a short time budget counts as a retry if the number of recent requests with a
   * short time budget is at most the number of recent rejections multiplied by this number.
   */
  private static final double SHORT_BUDGETS_PER_REJECTION = 2;

  private final boolean clientsMarkRetries;
  private final DecayingSum shortBudgetRequests;
  private final DecayingSum rejections;

  /**
   * Creates an estimator without observations.
   *
   * @param clientsMarkRetries whether clients mark their retries
   * @param timeConstantMicros the time constant of the decaying counts of requests and rejections
   */
  FirstAttemptEstimator(boolean clientsMarkRetries, double timeConstantMicros) {
    this.clientsMarkRetries = clientsMarkRetries;
    shortBudgetRequests = new DecayingSum(timeConstantMicros);
    rejections = new DecayingSum(timeConstantMicros);
  }

  /**
   * Returns the estimated time of the client's first attempt for a request that arrives now. For a
   * retry, this is the client's deadline minus the class's deadline. If the request has a short
   * time budget and no mark decides whether it is a retry, the request is also added to the number
   * of recent requests with a short time budget.
   */
  long firstAttemptAt(RequestArrived arrival, RequestClass requestClass, long now) {
    long remaining = arrival.deadline() - now;
    if (remaining >= requestClass.deadline() || (clientsMarkRetries && !arrival.clientRetry())) {
      return now;
    }
    if (!arrival.clientRetry() && remaining < requestClass.deadline() / SHORT_BUDGET_DIVISOR) {
      shortBudgetRequests.add(1, now);
      if (SHORT_BUDGETS_PER_REJECTION * rejections.valueAt(now)
          < shortBudgetRequests.valueAt(now)) {
        return now;
      }
    }
    return arrival.deadline() - requestClass.deadline();
  }

  /**
   * Records that a request was given up, so that its client may retry. Does nothing if the reason
   * is {@link RejectionReason#ARRIVED_TOO_LATE}.
   */
  void recordRejection(RejectionReason reason, long now) {
    if (reason != RejectionReason.ARRIVED_TOO_LATE) {
      rejections.add(1, now);
    }
  }
}
