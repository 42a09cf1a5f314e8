package loomreel.decision;

/** What the policy decides, for the dispatcher to execute. Times are microseconds. */
public sealed interface Action {

  /**
   * Starts an attempt. The attempts of a request are numbered from 0 in the order of their starts.
   *
   * @param timeout how long its answer is awaited; 0 until the client's deadline
   * @param writeDeadline its request must not be written after this time, since workers deduplicate
   *     only until then
   */
  record StartAttempt(String requestId, String workerId, long timeout, long writeDeadline)
      implements Action {}

  /** Cancels an attempt, which does not prove that it did not run. */
  record CancelAttempt(String requestId, int attemptNumber) implements Action {}

  /**
   * Rejects a request: a final answer which implies that nothing ran, or that a retry does no harm.
   *
   * @param retryAfter the time in which the client should not retry; 0 to give none
   */
  record Reject(String requestId, long retryAfter, RejectionReason reason) implements Action {}

  /** Fails a request: a final answer that leaves open what ran. */
  record Fail(String requestId, RejectionReason reason) implements Action {}

  /** Queries the load of a worker. */
  record CheckHealth(String workerId) implements Action {}

  /** Requests {@link Event.TimerFired} at a time. */
  record SetTimer(long time, long token) implements Action {}

  /** Polls the endpoint list. */
  record PollEndpoints() implements Action {}

  /** Logs a line. */
  record Log(String text) implements Action {}
}
