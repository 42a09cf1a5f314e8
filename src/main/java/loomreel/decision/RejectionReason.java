package loomreel.decision;

/**
 * The reason for which a request was rejected or failed. If the job has not started at the start
 * deadline of the request, an answer has no value any more. {@link RequestDeadlines} describes the
 * start deadline.
 */
public enum RejectionReason {
  /**
   * The request arrived at or after its start deadline, when an answer already had no value any
   * more.
   */
  ARRIVED_TOO_LATE,
  /**
   * The request exceeded the quota of its tenant, and no candidate worker could take the request.
   * The load threshold for such a request is lower than for other requests.
   */
  QUOTA_EXCEEDED,
  /** None of the workers that are ready and not disabled may run the request. */
  NO_ELIGIBLE_WORKER,
  /**
   * No worker had capacity or slow-start allowance for the request before its start deadline. No
   * attempt was started.
   */
  NO_CAPACITY_IN_TIME,
  /**
   * At least one attempt was started, but no worker started the job before the start deadline of
   * the request.
   */
  NOT_STARTED_IN_TIME,
  /**
   * No attempt of the request is open, and no further attempt is allowed. The request is invalid,
   * or its idempotency, its deadlines or the maximum number of attempts forbid another attempt.
   */
  RETRIES_EXHAUSTED,
  /** The client's deadline is about to pass. */
  CLIENT_DEADLINE
}
