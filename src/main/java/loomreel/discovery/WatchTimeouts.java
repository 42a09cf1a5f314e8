package loomreel.discovery;

import java.util.OptionalLong;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Settings.Rules;

/**
 * The timing of the endpoint watch: how long a call to discovery may wait, when it counts as
 * silent, and when a failed one is retried, so that a change is known before sending to a draining
 * worker would violate the rules. A pure function of the rules; all times in microseconds.
 *
 * <p>The rules of the platform on the endpoint list:
 *
 * <ul>
 *   <li>A call whose connection is silent has failed. A change that it misses counts as known
 *       {@link #KNOWN_AFTER_SILENCE} after the silence began, or {@link #KNOWN_AFTER_WAIT} after
 *       the call's wait is over, if that is later, whether or not it arrived.
 *   <li>Whatever the outcome of our calls, a change counts as known {@link #KNOWN_AFTER_SILENCE}
 *       after discovery had it and could be reached.
 *   <li>Where lists are pushed to an agent, the list of the agent counts as known at once, watched
 *       or not, and after an outage too.
 *   <li>From then on sending to a draining worker is allowed for {@link Rules#drainGrace()} more.
 * </ul>
 *
 * <p><b>The bound where discovery is polled.</b> Let discovery be reachable from time 0 on. A call
 * in flight then may be lost, and ends at {@code maxWait + responseTimeout} at the latest, by our
 * own timeout or by a late reset. After a reset, a rejection or a 503 the policy waits: {@link
 * Rules#maxPollBackoff()} at most, and a quarter of that after a call that lasted as long as that.
 * So the next call is made by {@code maxWait + responseTimeout + maxPollBackoff / 4}, and one that
 * followed a short call by {@code maxPollBackoff} and the duration of the short one. Both leave
 * more than half a second of {@code KNOWN_AFTER_SILENCE} and the grace for the response, at every
 * grace (WatchTimeoutsTest tests the sequences).
 *
 * @param pushed whether lists are pushed to an agent on this machine, which is the one called
 * @param maxWait how long a call may wait for a change
 * @param responseTimeout how long after that wait the response may take; then the call is silent
 * @param retryInterval the least time from one call to the next where the first was silent, or
 *     failed at an agent
 * @param invalidResponseRetryInterval the same where the response to the first was an invalid list,
 *     or incomplete
 */
public record WatchTimeouts(
    boolean pushed,
    long maxWait,
    long responseTimeout,
    long retryInterval,
    long invalidResponseRetryInterval) {
  /** The state of discovery that a failed call indicates. */
  enum Failure {
    /** It did not respond, or after a call without response no connection is established either. */
    SILENT,
    /** It sent an invalid list, one older than the list that is known, or a part of one. */
    INVALID_RESPONSE,
    /** It is overloaded or down. */
    UNAVAILABLE;

    /**
     * Classifies the outcome of a call.
     *
     * @param isResponseStarted whether a part of a response with a list had arrived
     * @param wasSilentBefore whether the call before this one was silent
     */
    static Failure of(AttemptOutcome outcome, boolean isResponseStarted, boolean wasSilentBefore) {
      if (outcome == AttemptOutcome.TIMEOUT
          || (wasSilentBefore && outcome == AttemptOutcome.CONNECT_FAILED)) {
        return SILENT;
      }
      return isResponseStarted ? INVALID_RESPONSE : UNAVAILABLE;
    }
  }

  /**
   * How long a process that starts waits for its first list. Nine in ten have to be ready within 10
   * s, and the start itself may take 3 s of that where many start at once.
   */
  public static final long FIRST_LIST_TIMEOUT_MICROS = 7_000_000;

  private static final long KNOWN_AFTER_SILENCE = 6_000_000;
  private static final long KNOWN_AFTER_WAIT = 2_000_000;

  /** The lower bound of intervals, however short the grace; the rules tolerate this much. */
  private static final long MIN_INTERVAL = 50_000;

  /** A response that is this late after the wait is lost rather than slow. */
  private static final long MAX_RESPONSE_TIMEOUT = 1_500_000;

  /** Limits the load of retries; a change that a silent call misses must be known in seconds. */
  private static final long SILENT_RETRY_INTERVAL = 1_000_000;

  /**
   * Derives the timing for a deployment.
   *
   * <p>Polled: with a wait of {@code KNOWN_AFTER_SILENCE - KNOWN_AFTER_WAIT} both limits of the
   * rules end together, {@code KNOWN_AFTER_SILENCE} after the call began at the earliest. The time
   * from the end of the wait until sending could violate the rule, {@code KNOWN_AFTER_WAIT} and the
   * grace, is divided evenly between the response timeouts of this call and the one that replaces
   * it. A change in an invalid response may count as known when that was written: two more calls
   * fit into the grace.
   *
   * <p>Pushed: the list must be younger than the grace. Two fifths of that are the wait, a fifth
   * the response timeout, and two fifths remain for a new connection and its first response.
   *
   * @param polled whether discovery itself is polled; else lists are pushed to an agent
   */
  public static WatchTimeouts of(Rules rules, boolean polled) {
    long grace = rules.drainGrace();
    if (polled) {
      return new WatchTimeouts(
          false,
          KNOWN_AFTER_SILENCE - KNOWN_AFTER_WAIT,
          Math.min(MAX_RESPONSE_TIMEOUT, (KNOWN_AFTER_WAIT + grace) / 2),
          SILENT_RETRY_INTERVAL,
          Math.min(SILENT_RETRY_INTERVAL, Math.max(MIN_INTERVAL, grace / 3)));
    }
    long fifth = Math.max(MIN_INTERVAL, grace / 5);
    return new WatchTimeouts(
        true,
        Math.min(KNOWN_AFTER_SILENCE - KNOWN_AFTER_WAIT, 2 * fifth),
        Math.min(MAX_RESPONSE_TIMEOUT, fifth),
        fifth,
        fifth);
  }

  /**
   * When a call that starts now times out.
   *
   * @param waitsForChange whether discovery may delay the response until the list changes
   */
  long deadline(long now, boolean waitsForChange) {
    return now + (waitsForChange ? maxWait : 0) + responseTimeout;
  }

  /**
   * When a failed call is retried. A silent call is retried at once, because a change that it
   * missed counts as known soon, and further ones at an interval. Discovery that sends an invalid
   * list is up.
   *
   * @param wasSilentBefore whether the call before this one was silent, too
   * @param calledAt when this one began
   * @return empty where the policy decides on the backoff, because discovery is overloaded or down
   */
  OptionalLong retryTime(Failure failure, boolean wasSilentBefore, long calledAt, long now) {
    if (pushed) {
      return OptionalLong.of(Math.max(now, calledAt + retryInterval));
    }
    return switch (failure) {
      case UNAVAILABLE -> OptionalLong.empty();
      case INVALID_RESPONSE ->
          OptionalLong.of(Math.max(now, calledAt + invalidResponseRetryInterval));
      case SILENT ->
          OptionalLong.of(wasSilentBefore ? Math.max(now, calledAt + retryInterval) : now);
    };
  }
}
