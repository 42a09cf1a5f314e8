package loomreel.decision;

/**
 * A decision of the policy, which the dispatcher executes. All times and durations are in
 * microseconds.
 */
public sealed interface Action {

  /**
   * Starts an attempt at a worker. The attempts of a request are numbered from 0 in the order in
   * which they are started.
   *
   * @param timeout the maximum time to wait for the outcome; 0 to wait until the client's deadline
   * @param writeDeadline the time until which the request may be written to the worker; {@link
   *     Long#MAX_VALUE} if there is no such limit. The limit is needed if an earlier attempt of a
   *     keyed request may have run, because workers deduplicate attempts only for a limited time.
   */
  record StartAttempt(String requestId, String workerId, long timeout, long writeDeadline)
      implements Action {}

  /** Cancels an open attempt. The worker may have run the job nevertheless. */
  record CancelAttempt(String requestId, int attemptNumber) implements Action {}

  /**
   * Rejects a request. A rejection is a final answer. It tells the client that no attempt ran, or
   * that the request is idempotent. In both cases, the client can safely send the request again.
   *
   * @param retryAfter the time during which the client should not retry; 0 if the rejection does
   *     not name such a time
   */
  record Reject(String requestId, long retryAfter, RejectionReason reason) implements Action {}

  /** Fails a request. A failure is a final answer that does not tell whether an attempt ran. */
  record Fail(String requestId, RejectionReason reason) implements Action {}

  /** Sends a health check to a worker, to query the load of the worker. */
  record CheckHealth(String workerId) implements Action {}

  /**
   * Requests a {@link Event.TimerFired} event.
   *
   * @param time the time at which the event is due
   * @param token the token that the event returns
   */
  record SetTimer(long time, long token) implements Action {}

  /** Polls discovery for the endpoint list. */
  record PollEndpoints() implements Action {}

  /** Writes a line to the log. */
  record Log(String text) implements Action {}
}
