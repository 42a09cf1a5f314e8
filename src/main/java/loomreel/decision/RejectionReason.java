package loomreel.decision;

/** Why a request was rejected or failed. */
public enum RejectionReason {
  /** It arrived when an answer had no value any more. */
  ARRIVED_TOO_LATE,
  /** Its tenant is over its quota, and no worker was idle enough for such requests. */
  QUOTA_EXCEEDED,
  /** The endpoint list names no worker that may run its class. */
  NO_ELIGIBLE_WORKER,
  /** No worker had capacity, or slow-start allowance, while an answer still had a value. */
  NO_CAPACITY_IN_TIME,
  /** It was sent, but no worker started it while an answer still had a value. */
  NOT_STARTED_IN_TIME,
  /** Its last attempt has ended, and its class or the limit of attempts allows no other. */
  RETRIES_EXHAUSTED,
  /** The client's deadline is about to pass. */
  CLIENT_DEADLINE
}
