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
 * Whatever the outcome of a call to discovery, a change that it missed is known before sending to a
 * draining worker would violate the rules.
 */
class WatchTimeoutsTest {
  private static final long SECOND = 1_000_000;

  private static Rules rules(double grace) {
    return new Rules((long) (grace * SECOND), 10 * SECOND, 0.1, 20 * SECOND, 3, 2 * SECOND);
  }

  private static WatchTimeouts timeouts(double grace, boolean polled) {
    return WatchTimeouts.of(rules(grace), polled);
  }

  private static long retryAt(
      WatchTimeouts timeouts, Failure failure, boolean silentBefore, long calledAt, long now) {
    return timeouts.retryTime(failure, silentBefore, calledAt, now).orElseThrow();
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.2, 0.5, 1, 3, 10})
  void aChangeThatASilentCallMissedIsKnownInTime(double grace) {
    WatchTimeouts timeouts = timeouts(grace, true);
    // Silent from the start: 6 s after it, or 2 s after its wait, everything counts as known.
    double violation = Math.max(6, timeouts.maxWait() / 1e6 + 2) + grace;
    double timedOut = timeouts.deadline(0, true) / 1e6;
    double nextTimedOut = timedOut + timeouts.responseTimeout() / 1e6;
    assertTrue(
        nextTimedOut <= violation,
        "the call that replaces it ends by " + nextTimedOut + ", of " + violation);
    assertTrue(timeouts.responseTimeout() > 0.9 * SECOND, "a slow call is not silent");
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.3, 0.5, 1, 3, 10})
  void theListOfAnAgentIsNeverOlderThanTheGrace(double grace) {
    WatchTimeouts timeouts = timeouts(grace, false);
    assertTrue(
        timeouts.deadline(0, true) + timeouts.responseTimeout() <= 0.8 * grace * SECOND,
        timeouts + " for a grace of " + grace);
    assertTrue(
        timeouts.retryInterval() > 0
            && timeouts.retryInterval() <= timeouts.responseTimeout() + SECOND,
        "failing calls are neither many nor rare");
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.01, 0.1})
  void intervalsHaveALowerBoundHoweverShortTheGrace(double grace) {
    WatchTimeouts timeouts = timeouts(grace, false);
    assertEquals(50_000, timeouts.retryInterval());
    assertTrue(
        timeouts.maxWait() >= 50_000 && timeouts.responseTimeout() >= 50_000, timeouts.toString());
  }

  /**
   * A network partition may outlast a call: from the first silent one on, a call goes out every
   * second or so until one is responded to.
   */
  @Test
  void aSilentCallIsRetriedAtOnceAndThenAtAnInterval() {
    WatchTimeouts timeouts = timeouts(3, true);
    Failure silent = Failure.of(AttemptOutcome.TIMEOUT, false, false);
    assertEquals(5_500_000, retryAt(timeouts, silent, false, 0, 5_500_000), "retried at once");
    Failure still = Failure.of(AttemptOutcome.CONNECT_FAILED, false, true);
    assertEquals(
        6_500_000,
        retryAt(timeouts, still, true, 5_500_000, 5_750_000),
        "no connection is established either");
    assertEquals(7_000_000, retryAt(timeouts, silent, true, 5_500_000, 7_000_000));
    for (AttemptOutcome busy : new AttemptOutcome[] {AttemptOutcome.RESET, AttemptOutcome.ERROR}) {
      assertEquals(Failure.UNAVAILABLE, Failure.of(busy, false, true));
      assertEquals(
          OptionalLong.empty(),
          timeouts.retryTime(Failure.UNAVAILABLE, true, 0, SECOND),
          "the policy decides how to spare it");
    }
    assertEquals(
        Failure.UNAVAILABLE,
        Failure.of(AttemptOutcome.CONNECT_FAILED, false, false),
        "no listener: it is down");
    assertEquals(Failure.SILENT, still);
  }

  /**
   * Discovery is up and its list has changed: changes in the part that arrived may count as known.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.3, 0.5, 1, 3, 10})
  void anInvalidResponseIsRetriedWithinTheGrace(double grace) {
    WatchTimeouts timeouts = timeouts(grace, true);
    for (AttemptOutcome outcome :
        new AttemptOutcome[] {AttemptOutcome.RESET, AttemptOutcome.ERROR}) {
      Failure failure = Failure.of(outcome, true, false);
      assertEquals(
          3 * SECOND, retryAt(timeouts, failure, false, 0, 3 * SECOND), "at once after a wait");
      long second = retryAt(timeouts, failure, false, 0, 1000);
      long third = retryAt(timeouts, failure, false, second, second + 1000);
      assertTrue(third <= grace * SECOND, third + " after two of them, of " + grace);
      assertTrue(second >= 100_000, "retries are spaced");
    }
  }

  @Test
  void anAgentIsPolledAgainAfterAnyFailure() {
    WatchTimeouts timeouts = timeouts(0.5, false);
    for (Failure failure : Failure.values()) {
      for (boolean silent : new boolean[] {false, true}) {
        assertEquals(
            100_000,
            retryAt(timeouts, failure, silent, 0, 1000),
            failure + " is retried after the interval");
        assertEquals(
            300_000,
            retryAt(timeouts, failure, silent, 0, 300_000),
            failure + " after a longer call is retried at once");
      }
    }
  }

  /** How a call may fail, and the fraction of its time limit after which it does. */
  private enum Ending {
    CONNECTION_REFUSED(AttemptOutcome.CONNECT_FAILED, 0),
    NO_CONNECTION(AttemptOutcome.CONNECT_FAILED, -1),
    RESET_AT_ONCE(AttemptOutcome.RESET, 0),
    RESET_LATE(AttemptOutcome.RESET, 0.999),
    REJECTED(AttemptOutcome.ERROR, 0.2),
    SILENT(AttemptOutcome.TIMEOUT, 1);

    final AttemptOutcome outcome;
    final double limitFraction;

    Ending(AttemptOutcome outcome, double limitFraction) {
      this.outcome = outcome;
      this.limitFraction = limitFraction;
    }

    long duration(long limit) {
      return limitFraction < 0 ? 250_000 : (long) (limitFraction * limit);
    }
  }

  /**
   * Every sequence of up to five failures, by the policy and these timeouts together, on a virtual
   * clock: discovery can be reached from the start of the last of them on, which fails as well. The
   * call after it has half a second for its response.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.2, 0.5, 1, 2, 3, 10})
  void afterAnyFailuresAChangeIsKnownBeforeASendCouldViolateTheRule(double grace) {
    Ending[] all = Ending.values();
    for (int length = 1; length <= 5; length++) {
      for (int code = 0; code < Math.pow(all.length, length); code++) {
        Ending[] sequence = new Ending[length];
        for (int i = 0, rest = code; i < length; i++, rest /= all.length) {
          sequence[i] = all[rest % all.length];
        }
        long unknown = reachableUntilPolled(grace, sequence, code);
        assertTrue(
            unknown + SECOND / 2 <= (6 + grace + 0.05) * SECOND,
            "polled " + unknown + " us after it could be reached: " + Arrays.toString(sequence));
      }
    }
  }

  /**
   * A process that starts sends nothing by a list of unknown age: whatever becomes of its first
   * call, the second one is made, with half a second for its response, while it still waits.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.2, 0.5, 1, 2, 3, 10})
  void aProcessThatStartsCallsTwiceBeforeItServesAListOfUnknownAge(double grace) {
    for (Ending ending : Ending.values()) {
      for (int seed = 0; seed < 50; seed++) {
        long called = startUntilPolledAgain(grace, ending, seed);
        assertTrue(
            called + SECOND / 2 <= WatchTimeouts.FIRST_LIST_TIMEOUT_MICROS,
            "polled " + called + " us after the start: " + ending);
      }
    }
  }

  /** From the start of a process, whose first call fails, to that of its second call. */
  private static long startUntilPolledAgain(double grace, Ending ending, long seed) {
    WatchTimeouts timeouts = timeouts(grace, true);
    List<Action> actions = new ArrayList<>();
    DispatchPolicy policy = startedPolicy(grace, seed, actions);
    Action.SetTimer first = (Action.SetTimer) actions.get(0);
    long calledAt = first.time();
    policy.on(new Event.TimerFired(first.token()), calledAt, actions);
    long end = calledAt + ending.duration(timeouts.deadline(0, false));
    Failure failure = Failure.of(ending.outcome, false, false);
    OptionalLong retryTime = timeouts.retryTime(failure, false, calledAt, end);
    if (retryTime.isPresent()) {
      return retryTime.getAsLong();
    }
    actions.clear();
    policy.on(new Event.WatchFailed(), end, actions);
    return ((Action.SetTimer) actions.get(0)).time();
  }

  /** From the start of the last of these calls, which all fail, to that of the one after it. */
  private static long reachableUntilPolled(double grace, Ending[] sequence, long seed) {
    WatchTimeouts timeouts = timeouts(grace, true);
    List<Action> actions = new ArrayList<>();
    DispatchPolicy policy = startedPolicy(grace, seed, actions);
    Rules rules = rules(grace);
    long calledAt = 0;
    long nextAt = 0;
    boolean silent = false;
    for (Ending ending : sequence) {
      calledAt = nextAt;
      long end = calledAt + ending.duration(timeouts.deadline(0, true));
      Failure failure = Failure.of(ending.outcome, false, silent);
      OptionalLong retryTime = timeouts.retryTime(failure, silent, calledAt, end);
      silent = failure == Failure.SILENT;
      if (retryTime.isPresent()) {
        nextAt = retryTime.getAsLong();
      } else {
        actions.clear();
        policy.on(new Event.WatchFailed(), end, actions);
        Action.SetTimer timer = (Action.SetTimer) actions.get(0);
        nextAt = timer.time();
        policy.on(new Event.TimerFired(timer.token()), nextAt, actions);
        assertTrue(nextAt - end >= rules.maxPollBackoff() / 8, "the policy backs off");
      }
    }
    return nextAt - calledAt;
  }

  private static DispatchPolicy startedPolicy(double grace, long seed, List<Action> actions) {
    DispatchPolicy policy = new DispatchPolicy();
    policy.on(
        new Event.Start(
            seed,
            Settings.builder()
                .rules(rules(grace))
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
