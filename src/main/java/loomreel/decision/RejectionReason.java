package loomreel.decision;

/** The reason for which a request was rejected or failed. */
public enum RejectionReason {
  /** The request arrived when an answer had no value any more. */
  ARRIVED_TOO_LATE,
  /**
   * The request was beyond the quota of its tenant, and no worker was below the load threshold for
   * such requests.
   */
  QUOTA_EXCEEDED,
  /** No ready and enabled worker may run the request. */
  NO_ELIGIBLE_WORKER,
  /** No worker had capacity or slow-start allowance for the request while an answer had a value. */
  NO_CAPACITY_IN_TIME,
  /** The request was sent, but no worker started it while an answer had a value. */
  NOT_STARTED_IN_TIME,
  /**
   * All attempts of the request have ended. Its idempotency or the limits on retries allow no
   * further one.
   */
  RETRIES_EXHAUSTED,
  /** The client's deadline is about to pass. */
  CLIENT_DEADLINE
}
