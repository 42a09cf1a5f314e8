package loomreel.decision;

import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;

/**
 * Estimates when the client of a request made its first attempt, from which its latency objective
 * counts. A request with less time than its class's deadline is either a client's retry, which has
 * used up part of the deadline, or the first attempt of a client that gives up early. Where clients
 * mark their retries, the mark decides.
 *
 * <p>Where they do not, a request with half of the deadline or more remaining counts as a retry.
 * One with less remaining would be a late retry, which is less likely than a client that gives up
 * early; unless this dispatcher has lately rejected at least half as many requests as arrived with
 * so little time. Requests that were rejected as too late do not count as rejected here: they would
 * confirm the estimate that rejected them. Times are microseconds.
 */
final class FirstAttemptEstimator {
  /** Less than the class's deadline divided by this is a short time budget. */
  private static final int SHORT_BUDGET_DIVISOR = 2;

  /** How many requests with short budgets one rejection explains as retries. */
  private static final double SHORT_BUDGETS_PER_REJECTION = 2;

  private final boolean clientsMarkRetries;
  private final DecayingSum shortBudgetRequests;
  private final DecayingSum rejections;

  /**
   * @param clientsMarkRetries whether clients mark their retries
   * @param timeConstantMicros for how long requests and rejections count
   */
  FirstAttemptEstimator(boolean clientsMarkRetries, double timeConstantMicros) {
    this.clientsMarkRetries = clientsMarkRetries;
    shortBudgetRequests = new DecayingSum(timeConstantMicros);
    rejections = new DecayingSum(timeConstantMicros);
  }

  /** When the client of a request that arrives now made its first attempt. */
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

  /** A request was rejected; its client may retry. */
  void recordRejection(RejectionReason reason, long now) {
    if (reason != RejectionReason.ARRIVED_TOO_LATE) {
      rejections.add(1, now);
    }
  }
}
