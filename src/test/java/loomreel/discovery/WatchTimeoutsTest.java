package loomreel.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import loomreel.decision.Action;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.DispatchPolicy;
import loomreel.decision.Event;
import loomreel.decision.Settings;
import loomreel.decision.Settings.Rules;
import loomreel.discovery.WatchTimeouts.Failure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that the dispatcher receives a change of the endpoint list in time, whatever the outcomes
 * of its calls to discovery are. If a change shows that a worker is draining, the rules of the
 * platform allow the dispatcher to send jobs to the worker for a limited time. The dispatcher must
 * receive the change before this time ends. {@link WatchTimeouts} describes the rules.
 */
class WatchTimeoutsTest {
  /** One second, in microseconds. */
  private static final long SECOND = 1_000_000;

  /**
   * Returns rules with the given drain grace. The other rules are: a poll interval of 10 s, an
   * initial capacity fraction of 0.1, a slow start of 20 s, an overload multiple of 3, and an
   * overload window of 2 s.
   */
  private static Rules rules(double graceSeconds) {
    return new Rules((long) (graceSeconds * SECOND), 10 * SECOND, 0.1, 20 * SECOND, 3, 2 * SECOND);
  }

  private static WatchTimeouts timeouts(double graceSeconds, boolean polled) {
    return WatchTimeouts.of(rules(graceSeconds), polled);
  }

  private static long retryAt(
      WatchTimeouts timeouts,
      Failure failure,
      boolean wasPreviousCallSilent,
      long calledAt,
      long now) {
    return timeouts.retryTime(failure, wasPreviousCallSilent, calledAt, now).orElseThrow();
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.2, 0.5, 1, 3, 10})
  void aChangeThatASilentCallMissedIsReceivedBeforeAViolation(double graceSeconds) {
    WatchTimeouts timeouts = timeouts(graceSeconds, true);
    // If a call is silent from its start, every change counts as known to the dispatcher 6 s after
    // the start of the call, or 2 s after the end of its wait for a change, whichever is later.
    double violationSeconds = Math.max(6, timeouts.maxWaitMicros() / 1e6 + 2) + graceSeconds;
    double timeoutSeconds = timeouts.deadline(0, true) / 1e6;
    double nextTimeoutSeconds = timeoutSeconds + timeouts.responseTimeoutMicros() / 1e6;
    assertTrue(
        nextTimeoutSeconds <= violationSeconds,
        "the next call times out after (s): "
            + nextTimeoutSeconds
            + ", violation after (s): "
            + violationSeconds);
    assertTrue(
        timeouts.responseTimeoutMicros() > 0.9 * SECOND,
        "a slow response must not count as silence");
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.3, 0.5, 1, 3, 10})
  void theListOfAnAgentIsNeverOlderThanTheGrace(double graceSeconds) {
    WatchTimeouts timeouts = timeouts(graceSeconds, false);
    // A call ends with its timeout at the latest. The next call responds within the response
    // timeout. A fifth of the grace must be left after these two calls.
    assertTrue(
        timeouts.deadline(0, true) + timeouts.responseTimeoutMicros()
            <= 0.8 * graceSeconds * SECOND,
        timeouts + " for a grace of " + graceSeconds);
    assertTrue(
        timeouts.retryIntervalMicros() > 0
            && timeouts.retryIntervalMicros() <= timeouts.responseTimeoutMicros() + SECOND,
        "the retry interval must limit the load and be short");
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.01, 0.1})
  void intervalsAreAtLeastFiftyMillisForAShortGrace(double graceSeconds) {
    WatchTimeouts timeouts = timeouts(graceSeconds, false);
    assertEquals(50_000, timeouts.retryIntervalMicros());
    assertTrue(
        timeouts.maxWaitMicros() >= 50_000 && timeouts.responseTimeoutMicros() >= 50_000,
        timeouts.toString());
  }

  /**
   * A network partition may last longer than a call. After the first silent call, a call is made
   * about once per second until discovery responds.
   */
  @Test
  void theFirstSilentCallIsRetriedAtOnceAndOthersAtAnInterval() {
    WatchTimeouts timeouts = timeouts(3, true);
    Failure silent = Failure.of(AttemptOutcome.TIMEOUT, false, false);
    assertEquals(5_500_000, retryAt(timeouts, silent, false, 0, 5_500_000), "retried at once");
    Failure repeatedlySilent = Failure.of(AttemptOutcome.CONNECT_FAILED, false, true);
    assertEquals(
        6_500_000,
        retryAt(timeouts, repeatedlySilent, true, 5_500_000, 5_750_000),
        "a call without a connection after a silent call is retried after the interval");
    assertEquals(7_000_000, retryAt(timeouts, silent, true, 5_500_000, 7_000_000));
    for (AttemptOutcome unavailableOutcome :
        new AttemptOutcome[] {AttemptOutcome.RESET, AttemptOutcome.ERROR}) {
      assertEquals(Failure.UNAVAILABLE, Failure.of(unavailableOutcome, false, true));
      assertEquals(
          OptionalLong.empty(),
          timeouts.retryTime(Failure.UNAVAILABLE, true, 0, SECOND),
          "the policy determines the backoff");
    }
    assertEquals(
        Failure.UNAVAILABLE,
        Failure.of(AttemptOutcome.CONNECT_FAILED, false, false),
        "a refused connection means that discovery is down");
    assertEquals(Failure.SILENT, repeatedlySilent);
  }

  /**
   * Verifies that two more calls can be made within the drain grace after an invalid response.
   * {@link WatchTimeouts} assumes that the changes in an invalid response count as known to the
   * dispatcher from the time at which discovery wrote the response. Also verifies the minimum
   * interval from the first call to the first retry, and that a call that took long is retried at
   * once.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.3, 0.5, 1, 3, 10})
  void twoInvalidResponsesAreRetriedWithinTheGrace(double graceSeconds) {
    WatchTimeouts timeouts = timeouts(graceSeconds, true);
    for (AttemptOutcome outcome :
        new AttemptOutcome[] {AttemptOutcome.RESET, AttemptOutcome.ERROR}) {
      Failure failure = Failure.of(outcome, true, false);
      assertEquals(
          3 * SECOND,
          retryAt(timeouts, failure, false, 0, 3 * SECOND),
          "a call that took long is retried at once");
      long secondCallAt = retryAt(timeouts, failure, false, 0, 1000);
      long thirdCallAt = retryAt(timeouts, failure, false, secondCallAt, secondCallAt + 1000);
      assertTrue(
          thirdCallAt <= graceSeconds * SECOND,
          thirdCallAt + " us until the third call, grace in s: " + graceSeconds);
      assertTrue(secondCallAt >= 100_000, "the first retry is too soon after the first call");
    }
  }

  @Test
  void aCallToAnAgentIsRetriedAtAnIntervalAfterEachFailure() {
    WatchTimeouts timeouts = timeouts(0.5, false);
    for (Failure failure : Failure.values()) {
      for (boolean wasPreviousCallSilent : new boolean[] {false, true}) {
        assertEquals(
            100_000,
            retryAt(timeouts, failure, wasPreviousCallSilent, 0, 1000),
            "a short call is retried after the interval: " + failure);
        assertEquals(
            300_000,
            retryAt(timeouts, failure, wasPreviousCallSilent, 0, 300_000),
            "a call longer than the interval is retried at once: " + failure);
      }
    }
  }

  /** The ways in which a call to discovery may fail. */
  private enum Ending {
    CONNECTION_REFUSED(AttemptOutcome.CONNECT_FAILED, 0),
    NO_CONNECTION(AttemptOutcome.CONNECT_FAILED, -1),
    RESET_AT_ONCE(AttemptOutcome.RESET, 0),
    RESET_LATE(AttemptOutcome.RESET, 0.999),
    REJECTED(AttemptOutcome.ERROR, 0.2),
    SILENT(AttemptOutcome.TIMEOUT, 1);

    final AttemptOutcome outcome;

    /**
     * The time until the failure as a fraction of the timeout of the call. Negative if the call
     * fails after 250 ms, whatever its timeout is.
     */
    final double timeoutFraction;

    Ending(AttemptOutcome outcome, double timeoutFraction) {
      this.outcome = outcome;
      this.timeoutFraction = timeoutFraction;
    }

    /** Returns the duration of a call that has the given timeout, both in microseconds. */
    long durationMicros(long timeoutMicros) {
      return timeoutFraction < 0 ? 250_000 : (long) (timeoutFraction * timeoutMicros);
    }
  }

  /**
   * Simulates failed calls to discovery with the policy and these timeouts on a virtual clock, for
   * every sequence of one to five {@link Ending}s. Discovery can be reached from the start of the
   * last failed call on, although this call fails as well. The call that follows must be made at
   * least half a second before sending to a draining worker could violate the rules, so that there
   * is time for the response.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.2, 0.5, 1, 2, 3, 10})
  void afterAnyFailuresTheNextCallIsMadeBeforeASendCouldViolateTheRules(double graceSeconds) {
    Ending[] endings = Ending.values();
    for (int length = 1; length <= 5; length++) {
      for (int index = 0; index < Math.pow(endings.length, length); index++) {
        // The digits of the index, to the base of the number of endings, select the endings.
        Ending[] sequence = new Ending[length];
        for (int i = 0, remainder = index; i < length; i++, remainder /= endings.length) {
          sequence[i] = endings[remainder % endings.length];
        }
        long delayMicros = microsFromLastCallToNextCall(graceSeconds, sequence, index);
        // A change counts as known to the dispatcher 6 s after discovery can be reached. After
        // that, the drain grace and a tolerance of 0.05 s pass before a send violates the rules.
        assertTrue(
            delayMicros + SECOND / 2 <= (6 + graceSeconds + 0.05) * SECOND,
            "called "
                + delayMicros
                + " us after discovery could be reached: "
                + Arrays.toString(sequence));
      }
    }
  }

  /**
   * While a starting process waits for its first list from discovery, it does not use the last
   * known list, whose age is unknown. If the first call fails, the second call must be made during
   * this wait, with half a second left for the response.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.2, 0.5, 1, 2, 3, 10})
  void aStartingProcessCallsTwiceBeforeItUsesAListOfUnknownAge(double graceSeconds) {
    for (Ending ending : Ending.values()) {
      for (int seed = 0; seed < 50; seed++) {
        long secondCallMicros = microsFromStartToSecondCall(graceSeconds, ending, seed);
        assertTrue(
            secondCallMicros + SECOND / 2 <= WatchTimeouts.FIRST_LIST_TIMEOUT_MICROS,
            "called again " + secondCallMicros + " us after the start: " + ending);
      }
    }
  }

  /**
   * Returns the time, in microseconds, from the start of a process to the start of its second call,
   * if the first call fails.
   *
   * @param ending the way in which the first call fails
   * @param seed the seed of the policy's random number generator
   */
  private static long microsFromStartToSecondCall(double graceSeconds, Ending ending, long seed) {
    WatchTimeouts timeouts = timeouts(graceSeconds, true);
    List<Action> actions = new ArrayList<>();
    DispatchPolicy policy = startedPolicy(graceSeconds, seed, actions);
    Action.SetTimer firstTimer = (Action.SetTimer) actions.get(0);
    long calledAt = firstTimer.time();
    policy.on(new Event.TimerFired(firstTimer.token()), calledAt, actions);
    long endedAt = calledAt + ending.durationMicros(timeouts.deadline(0, false));
    Failure failure = Failure.of(ending.outcome, false, false);
    OptionalLong retryTime = timeouts.retryTime(failure, false, calledAt, endedAt);
    if (retryTime.isPresent()) {
      return retryTime.getAsLong();
    }
    actions.clear();
    policy.on(new Event.WatchFailed(), endedAt, actions);
    return ((Action.SetTimer) actions.get(0)).time();
  }

  /**
   * Returns the time, in microseconds, from the start of the last call in a sequence of failed
   * calls to the start of the next call.
   *
   * @param sequence the endings of the failed calls, in the order of the calls
   * @param seed the seed of the policy's random number generator
   */
  private static long microsFromLastCallToNextCall(
      double graceSeconds, Ending[] sequence, long seed) {
    WatchTimeouts timeouts = timeouts(graceSeconds, true);
    List<Action> actions = new ArrayList<>();
    DispatchPolicy policy = startedPolicy(graceSeconds, seed, actions);
    Rules rules = rules(graceSeconds);
    long calledAt = 0;
    long nextCallAt = 0;
    boolean wasPreviousCallSilent = false;
    for (Ending ending : sequence) {
      calledAt = nextCallAt;
      long endedAt = calledAt + ending.durationMicros(timeouts.deadline(0, true));
      Failure failure = Failure.of(ending.outcome, false, wasPreviousCallSilent);
      OptionalLong retryTime =
          timeouts.retryTime(failure, wasPreviousCallSilent, calledAt, endedAt);
      wasPreviousCallSilent = failure == Failure.SILENT;
      if (retryTime.isPresent()) {
        nextCallAt = retryTime.getAsLong();
      } else {
        actions.clear();
        policy.on(new Event.WatchFailed(), endedAt, actions);
        Action.SetTimer timer = (Action.SetTimer) actions.get(0);
        nextCallAt = timer.time();
        policy.on(new Event.TimerFired(timer.token()), nextCallAt, actions);
        assertTrue(
            nextCallAt - endedAt >= rules.maxPollBackoff() / 8, "the policy delays the next call");
      }
    }
    return nextCallAt - calledAt;
  }

  /**
   * Returns a policy that has been started at time 0.
   *
   * @param actions the list to which the actions of the start are added
   */
  private static DispatchPolicy startedPolicy(
      double graceSeconds, long seed, List<Action> actions) {
    DispatchPolicy policy = new DispatchPolicy();
    policy.on(
        new Event.Start(
            seed,
            Settings.builder()
                .rules(rules(graceSeconds))
                .limits(new Settings.Limits(4, true, true, false, false, 0))
                .dispatchers(20)
                .zone("z")
                .pollsEndpoints(true)
                .tick(4000)
                .build()),
        0,
        actions);
    return policy;
  }
}
