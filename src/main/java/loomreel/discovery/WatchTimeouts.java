package loomreel.discovery;

import java.util.OptionalLong;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Settings.Rules;

/**
 * The timeouts of the endpoint watch: how long a call to discovery may wait for a change, when a
 * call without a response counts as silent, and when a failed call is retried. With these timeouts
 * the dispatcher receives a change of the endpoint list before sending to a draining worker would
 * violate the rules of the platform.
 *
 * <p>The timeouts depend only on these rules. All times are in microseconds.
 *
 * <p>The platform has the following rules for the endpoint list. They state when a change counts as
 * known to the dispatcher, whether or not the dispatcher has received it.
 *
 * <ul>
 *   <li>A call has failed if its connection is silent. A change that the call missed counts as
 *       known {@link #KNOWN_AFTER_SILENCE_MICROS} after the silence began, or {@link
 *       #KNOWN_AFTER_WAIT_MICROS} after the end of the call's wait, whichever is later.
 *   <li>Whatever the outcome of the dispatcher's calls is, a change counts as known {@link
 *       #KNOWN_AFTER_SILENCE_MICROS} after discovery had it and could be reached.
 *   <li>If lists are pushed to an agent, the list of the agent counts as known at once, whether or
 *       not the dispatcher watches it. This also applies after an outage.
 *   <li>After a change counts as known, sending to a draining worker is allowed for another {@link
 *       Rules#drainGrace()}.
 * </ul>
 *
 * <p><b>Upper bound if discovery is polled.</b> Assume that discovery can be reached from time 0
 * on. A call that is in flight at time 0 may be lost. It ends at {@code maxWaitMicros +
 * responseTimeoutMicros} at the latest, by its timeout or by a late reset. After a reset, a
 * rejection or a response with status 503 the policy waits before it calls again. It waits {@link
 * Rules#maxPollBackoff()} at most, and a quarter of that at most if the failed call lasted at least
 * that long. The next call is therefore made by {@code maxWaitMicros + responseTimeoutMicros +
 * maxPollBackoff / 4}. If the failed call was short, the next call is made by {@code
 * maxPollBackoff} plus the duration of the short call. In both cases more than half a second of the
 * sum of {@code KNOWN_AFTER_SILENCE_MICROS} and the grace is left for the response, for every
 * grace. WatchTimeoutsTest tests these sequences.
 *
 * @param pushed whether lists are pushed to an agent on this machine, which is called instead of
 *     discovery
 * @param maxWaitMicros the maximum time for which a call may wait for a change
 * @param responseTimeoutMicros the maximum time from the end of that wait to the response; a call
 *     that takes longer is silent
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
  /** The state of discovery that the failure of a call indicates. */
  enum Failure {
    /**
     * Discovery did not respond in time, or no connection could be established after a call that
     * was silent.
     */
    SILENT,
    /**
     * Discovery sent an invalid list, a list that is older than the known one, or a part of a list.
     */
    INVALID_RESPONSE,
    /** Discovery is overloaded or down. */
    UNAVAILABLE;

    /**
     * Returns the failure that the outcome of a failed call indicates.
     *
     * @param isResponseStarted whether a part of a response with an endpoint list has arrived
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
   * The time from the beginning of a silence, or from the time from which discovery has a change
   * and can be reached, until the change counts as known, in microseconds.
   */
  private static final long KNOWN_AFTER_SILENCE_MICROS = 6_000_000;

  /**
   * The time from the end of the wait of a silent call until a change that the call missed counts
   * as known, in microseconds.
   */
  private static final long KNOWN_AFTER_WAIT_MICROS = 2_000_000;

  /**
   * The lower bound of the intervals that depend on the grace, in microseconds. The rules tolerate
   * a delay of this length even if the grace is shorter.
   */
  private static final long MIN_INTERVAL_MICROS = 50_000;

  /**
   * The upper bound of the response timeout, in microseconds. A response that has not arrived this
   * long after the end of the wait is taken as lost, not as slow.
   */
  private static final long MAX_RESPONSE_TIMEOUT_MICROS = 1_500_000;

  /**
   * The retry interval after silent calls if discovery is polled, in microseconds. It limits the
   * load that retries cause, and is short enough for a change that a silent call missed to be
   * received within seconds.
   */
  private static final long SILENT_RETRY_INTERVAL_MICROS = 1_000_000;

  /**
   * Returns the timeouts for a deployment.
   *
   * <p>If discovery is polled, a call waits {@code KNOWN_AFTER_SILENCE_MICROS -
   * KNOWN_AFTER_WAIT_MICROS}. With this wait, both time limits of the rules for silent calls end at
   * the same time, which is {@code KNOWN_AFTER_SILENCE_MICROS} after the start of the call at the
   * earliest. The time from the end of the wait until sending could violate the rules is the sum of
   * {@code KNOWN_AFTER_WAIT_MICROS} and the grace. It is divided evenly between the response
   * timeouts of the silent call and of the call that replaces it. A change in an invalid response
   * may count as known from the time at which the response was written, so the retry interval after
   * an invalid response leaves time for two more calls within the grace.
   *
   * <p>If lists are pushed to an agent, the known list must be younger than the grace. The wait
   * takes two fifths of the grace and the response timeout one fifth. The remaining two fifths are
   * left for a new connection and its first response.
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
   * <p>Calls to an agent are retried after the retry interval. If discovery is polled, the first of
   * several silent calls is retried at once, because a change that it missed counts as known soon;
   * the others are retried after the retry interval. A call with an invalid response is retried
   * after its own interval and without backoff, because discovery is up.
   *
   * @param wasPreviousCallSilent whether the previous call was silent, too
   * @param calledAt the start time of the failed call
   * @param now the current time
   * @return the time of the retry, which is not before {@code now}; empty if discovery is
   *     overloaded or down, in which case the policy determines the backoff
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
