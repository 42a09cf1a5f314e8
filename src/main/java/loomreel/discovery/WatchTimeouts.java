package loomreel.discovery;

import java.util.OptionalLong;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Settings.Rules;

/**
 * The timeouts of the endpoint watch. They determine how long a call to discovery may wait for a
 * change of the endpoint list, when a call without a response counts as silent, and when a failed
 * call is retried.
 *
 * <p>The rules of the platform limit the time during which jobs may still be sent to a worker that
 * drains. With these timeouts, the dispatcher receives the corresponding change of the endpoint
 * list before that time has passed. The timeouts depend only on these rules. All times are in
 * microseconds.
 *
 * <p>The dispatcher gets the endpoint list in one of two ways. Either the dispatcher polls
 * discovery, or the lists are pushed to an <em>agent</em> on this machine and the dispatcher calls
 * the agent instead.
 *
 * <p>The platform has the following rules for the endpoint list. The rules state when a change of
 * the list <em>counts as known</em> to the dispatcher, whether or not the dispatcher has received
 * the change.
 *
 * <ul>
 *   <li>A call has failed if its connection is silent. A change that the call missed counts as
 *       known {@link #KNOWN_AFTER_SILENCE_MICROS} after the silence began, or {@link
 *       #KNOWN_AFTER_WAIT_MICROS} after the end of the call's wait for a change, whichever is
 *       later.
 *   <li>Assume that discovery has a change and can be reached from some time on. The change counts
 *       as known {@link #KNOWN_AFTER_SILENCE_MICROS} after that time, even if the calls of the
 *       dispatcher fail.
 *   <li>If lists are pushed to an agent, the list of the agent counts as known at once, whether or
 *       not the dispatcher watches the agent. This also applies after an outage.
 *   <li>If a change shows that a worker drains, jobs may be sent to the worker for another {@link
 *       Rules#drainGrace()}, the drain grace, after the change counts as known.
 * </ul>
 *
 * <p><b>Time of the next call if discovery is polled.</b> Assume that discovery can be reached from
 * time 0 on. A change that discovery has at time 0 counts as known at {@code
 * KNOWN_AFTER_SILENCE_MICROS}, and sending to a draining worker violates the rules from {@code
 * KNOWN_AFTER_SILENCE_MICROS} plus the drain grace on.
 *
 * <p>A call that is in flight at time 0 may be lost. It ends by its timeout or by a late reset, at
 * {@code maxWaitMicros + responseTimeoutMicros} at the latest. After a reset, a rejection or a
 * response with status 503, the policy waits before the next call is made. This backoff is at most
 * {@link Rules#maxPollBackoff()}. If the failed call lasted at least {@code maxPollBackoff}, the
 * backoff is at most {@code maxPollBackoff / 4}. There are two cases:
 *
 * <ul>
 *   <li>If the failed call lasted at least {@code maxPollBackoff}, the next call is made at {@code
 *       maxWaitMicros + responseTimeoutMicros + maxPollBackoff / 4} at the latest.
 *   <li>If the failed call was shorter, the next call is made at {@code maxPollBackoff} plus the
 *       duration of the failed call at the latest.
 * </ul>
 *
 * <p>In both cases, more than half a second is left for the response to the next call before
 * sending violates the rules, for every length of the drain grace. WatchTimeoutsTest tests these
 * sequences of calls.
 *
 * @param pushed whether lists are pushed to an agent on this machine, which is called instead of
 *     discovery
 * @param maxWaitMicros the maximum time for which a call may wait for a change
 * @param responseTimeoutMicros the maximum time from the end of the wait for a change to the
 *     response; a call without a response by then is silent
 * @param retryIntervalMicros the minimum time between the starts of two calls if the first call was
 *     silent, or was made to an agent and failed
 * @param invalidResponseRetryIntervalMicros the minimum time between the starts of two calls if the
 *     response to the first call was an invalid or incomplete list
 */
public record WatchTimeouts(
    boolean pushed,
    long maxWaitMicros,
    long responseTimeoutMicros,
    long retryIntervalMicros,
    long invalidResponseRetryIntervalMicros) {
  /** The kinds of failures of a call to discovery. */
  enum Failure {
    /**
     * The response was not complete in time. Also used if no connection could be established and
     * the previous call was silent.
     */
    SILENT,
    /**
     * A response with status 200 contained an invalid list or a list that is older than the known
     * one, or the end of this response was not received because the connection was lost or the
     * response was malformed.
     */
    INVALID_RESPONSE,
    /**
     * Any other failure: no connection could be established, no head of a response was received
     * because the connection was lost or the response was malformed, or the response had another
     * status than 200. Discovery is overloaded or down.
     */
    UNAVAILABLE;

    /**
     * Returns the kind of failure of a call.
     *
     * @param outcome the outcome of the call; {@link AttemptOutcome#ERROR} if a complete response
     *     arrived that is not a valid and current list
     * @param isResponseStarted whether the head of a response with status 200 has arrived
     * @param wasPreviousCallSilent whether the previous call was silent
     */
    static Failure of(
        AttemptOutcome outcome, boolean isResponseStarted, boolean wasPreviousCallSilent) {
      if (outcome == AttemptOutcome.TIMEOUT
          || (wasPreviousCallSilent && outcome == AttemptOutcome.CONNECT_FAILED)) {
        return SILENT;
      }
      return isResponseStarted ? INVALID_RESPONSE : UNAVAILABLE;
    }
  }

  /**
   * The maximum time for which a starting process waits for its first endpoint list, in
   * microseconds. Nine of ten processes must be ready within 10 s, and the start itself may take 3
   * s of that time if many processes start at once.
   */
  public static final long FIRST_LIST_TIMEOUT_MICROS = 7_000_000;

  /**
   * The time after which a change counts as known to the dispatcher, in microseconds. This time
   * begins when a connection becomes silent, or when discovery has the change and can be reached.
   */
  private static final long KNOWN_AFTER_SILENCE_MICROS = 6_000_000;

  /**
   * The time after which a change that a silent call missed counts as known to the dispatcher, in
   * microseconds. This time begins at the end of the call's wait for a change.
   */
  private static final long KNOWN_AFTER_WAIT_MICROS = 2_000_000;

  /**
   * The lower bound, in microseconds, of the times that are computed as a fraction of the drain
   * grace: the retry interval after an invalid response if discovery is polled, and all timeouts
   * and intervals if lists are pushed to an agent. The rules of the platform tolerate a delay of
   * this length even if the drain grace is shorter.
   */
  private static final long MIN_INTERVAL_MICROS = 50_000;

  /**
   * The upper bound of the response timeout, in microseconds. If a response has not arrived this
   * long after the end of the wait for a change, the response is considered lost, not slow.
   */
  private static final long MAX_RESPONSE_TIMEOUT_MICROS = 1_500_000;

  /**
   * The retry interval after silent calls if discovery is polled, in microseconds. Also the upper
   * bound of the retry interval after an invalid response. The interval limits the load that
   * retries cause. It is short enough for the dispatcher to receive, within seconds, a change that
   * a silent call missed.
   */
  private static final long SILENT_RETRY_INTERVAL_MICROS = 1_000_000;

  /**
   * Returns the timeouts for a deployment.
   *
   * <p>If discovery is polled:
   *
   * <ul>
   *   <li>A call waits for a change for {@code KNOWN_AFTER_SILENCE_MICROS -
   *       KNOWN_AFTER_WAIT_MICROS}. A change that a silent call missed counts as known {@code
   *       KNOWN_AFTER_SILENCE_MICROS} after the silence began, or {@code KNOWN_AFTER_WAIT_MICROS}
   *       after the end of the wait, whichever is later. With the chosen wait, both times are
   *       {@code KNOWN_AFTER_SILENCE_MICROS} after the start of the call if the call is silent from
   *       its start. If the silence begins later, the change counts as known later.
   *   <li>From the end of the wait, {@code KNOWN_AFTER_WAIT_MICROS} plus the drain grace pass until
   *       sending to a draining worker could violate the rules. Half of this time is the response
   *       timeout of the silent call, and the other half is the response timeout of the call that
   *       replaces it. Each response timeout is at most {@link #MAX_RESPONSE_TIMEOUT_MICROS}.
   *   <li>For an invalid response, this class assumes the worst case: each change in the response
   *       counts as known to the dispatcher from the time at which discovery wrote the response.
   *       From that time, jobs may be sent to a draining worker for the drain grace only. The retry
   *       interval after an invalid response therefore leaves time for two more calls within the
   *       drain grace.
   * </ul>
   *
   * <p>If lists are pushed to an agent, the known list must be younger than the drain grace. The
   * wait for a change takes two fifths of the drain grace, and the response timeout takes one
   * fifth. The remaining two fifths are left for a new connection and the first response on that
   * connection.
   *
   * @param rules the rules of the platform, of which only the drain grace is used
   * @param polled true if discovery itself is polled, false if lists are pushed to an agent
   */
  public static WatchTimeouts of(Rules rules, boolean polled) {
    long graceMicros = rules.drainGrace();
    if (polled) {
      return new WatchTimeouts(
          false,
          KNOWN_AFTER_SILENCE_MICROS - KNOWN_AFTER_WAIT_MICROS,
          Math.min(MAX_RESPONSE_TIMEOUT_MICROS, (KNOWN_AFTER_WAIT_MICROS + graceMicros) / 2),
          SILENT_RETRY_INTERVAL_MICROS,
          Math.min(SILENT_RETRY_INTERVAL_MICROS, Math.max(MIN_INTERVAL_MICROS, graceMicros / 3)));
    }
    long fifthOfGraceMicros = Math.max(MIN_INTERVAL_MICROS, graceMicros / 5);
    return new WatchTimeouts(
        true,
        Math.min(KNOWN_AFTER_SILENCE_MICROS - KNOWN_AFTER_WAIT_MICROS, 2 * fifthOfGraceMicros),
        Math.min(MAX_RESPONSE_TIMEOUT_MICROS, fifthOfGraceMicros),
        fifthOfGraceMicros,
        fifthOfGraceMicros);
  }

  /**
   * Returns the time at which a call that starts now times out.
   *
   * @param now the current time
   * @param waitsForChange whether discovery may delay the response until the list changes
   */
  long deadline(long now, boolean waitsForChange) {
    return now + (waitsForChange ? maxWaitMicros : 0) + responseTimeoutMicros;
  }

  /**
   * Returns the time at which a failed call is retried.
   *
   * <p>If lists are pushed to an agent, each failed call is retried after the retry interval. If
   * discovery is polled, the kind of failure decides:
   *
   * <ul>
   *   <li>The first of several successive silent calls is retried at once, because a change that
   *       the call missed counts as known soon. The other silent calls are retried after the retry
   *       interval.
   *   <li>A call with an invalid response is retried after the interval for invalid responses.
   *       There is no backoff, because discovery is up.
   *   <li>After any other failure, discovery is overloaded or down, and the policy determines the
   *       backoff.
   * </ul>
   *
   * <p>All intervals begin at the start of the failed call.
   *
   * @param wasPreviousCallSilent whether the call before the failed call was silent
   * @param calledAt the start time of the failed call
   * @param now the current time
   * @return the time of the retry, which is not before {@code now}; empty if the policy determines
   *     the backoff
   */
  OptionalLong retryTime(Failure failure, boolean wasPreviousCallSilent, long calledAt, long now) {
    if (pushed) {
      return OptionalLong.of(Math.max(now, calledAt + retryIntervalMicros));
    }
    return switch (failure) {
      case UNAVAILABLE -> OptionalLong.empty();
      case INVALID_RESPONSE ->
          OptionalLong.of(Math.max(now, calledAt + invalidResponseRetryIntervalMicros));
      case SILENT ->
          OptionalLong.of(
              wasPreviousCallSilent ? Math.max(now, calledAt + retryIntervalMicros) : now);
    };
  }
}
