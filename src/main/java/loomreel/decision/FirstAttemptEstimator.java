package loomreel.decision;

import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;

/**
 * Estimates when the client of a request made its first attempt. The latency objective counts from
 * that time. Times are in microseconds.
 *
 * <p>If the time until the client's deadline is shorter than the deadline of the request's class,
 * the request is either a retry that has used up a part of the deadline, or the first attempt of a
 * client with a shorter timeout. If clients mark their retries, the mark decides.
 *
 * <p>If clients do not mark their retries, a request with at least half of the class's deadline
 * remaining counts as a retry. A request with less remaining counts as a first attempt, because a
 * client with a short timeout is more likely than a late retry. It counts as a retry, though, if
 * the recent rejections of this dispatcher number at least half of the recent requests with so
 * little time remaining. Rejections with reason {@link RejectionReason#ARRIVED_TOO_LATE} are not
 * counted, because they result from this estimate and would confirm it.
 */
final class FirstAttemptEstimator {
  /**
   * A request has a short time budget if its remaining time is less than the class's deadline
   * divided by this number.
   */
  private static final int SHORT_BUDGET_DIVISOR = 2;

  /** The number of requests with a short time budget that one rejection accounts for as retries. */
  private static final double SHORT_BUDGETS_PER_REJECTION = 2;

  private final boolean clientsMarkRetries;
  private final DecayingSum shortBudgetRequests;
  private final DecayingSum rejections;

  /**
   * Creates an estimator without observations.
   *
   * @param clientsMarkRetries whether clients mark their retries
   * @param timeConstantMicros the time after which requests and rejections count for a fraction of
   *     1/e
   */
  FirstAttemptEstimator(boolean clientsMarkRetries, double timeConstantMicros) {
    this.clientsMarkRetries = clientsMarkRetries;
    shortBudgetRequests = new DecayingSum(timeConstantMicros);
    rejections = new DecayingSum(timeConstantMicros);
  }

  /** Returns the estimated time of the client's first attempt for a request that arrives now. */
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
   * Records that a request was given up, so that its client may retry. Ignores requests that
   * arrived too late.
   */
  void recordRejection(RejectionReason reason, long now) {
    if (reason != RejectionReason.ARRIVED_TOO_LATE) {
      rejections.add(1, now);
    }
  }
}
