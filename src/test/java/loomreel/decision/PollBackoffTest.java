package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import loomreel.decision.Settings.Rules;
import org.junit.jupiter.api.Test;

class PollBackoffTest {
  private static final Rules RULES = DispatcherHarness.RULES;
  private static final long MAX_BACKOFF_MICROS = RULES.maxPollBackoff();

  private final PollBackoff backoff = new PollBackoff(RULES);
  private final SplittableRandom random = new SplittableRandom(1);

  @Test
  void theFirstPollIsMadeWithinFifteenPercentOfThePollInterval() {
    for (int i = 0; i < 1000; i++) {
      long pollTimeMicros = backoff.firstPollAt(100, random);

      assertTrue(
          pollTimeMicros >= 100 && pollTimeMicros <= 100 + RULES.pollInterval() * 6 / 40,
          "at " + pollTimeMicros);
    }
  }

  @Test
  void theFirstPollIsImmediateIfThePollIntervalIsZero() {
    // The second value is the poll interval.
    Rules rulesWithoutPolls = new Rules(500_000, 0, 0.2, 20_000_000, 3, 2_000_000);

    assertEquals(100, new PollBackoff(rulesWithoutPolls).firstPollAt(100, random));
  }

  @Test
  void consecutiveFailuresIncreaseTheBackoffUpToTheMaximum() {
    long nowMicros = 0;
    for (int failures = 0; failures < 10; failures++) {
      backoff.pollStarted(nowMicros);
      long waitMicros = backoff.nextPollAt(nowMicros, random) - nowMicros;

      assertTrue(
          waitMicros >= MAX_BACKOFF_MICROS / 8 && waitMicros <= MAX_BACKOFF_MICROS,
          failures + " failures: " + waitMicros);
      nowMicros += 1;
    }
    assertTrue(
        backoff.nextPollAt(nowMicros, random) - nowMicros >= MAX_BACKOFF_MICROS / 2,
        "the wait is in the upper half of the maximum backoff");
  }

  @Test
  void aSuccessfulPollResetsTheBackoff() {
    backoff.pollStarted(0);
    for (int failures = 0; failures < 5; failures++) {
      backoff.nextPollAt(0, random);
    }

    backoff.pollSucceeded();

    assertTrue(backoff.nextPollAt(0, random) <= MAX_BACKOFF_MICROS / 4);
  }

  @Test
  void aPollThatLastsForTheMaximumBackoffResetsTheBackoff() {
    backoff.pollStarted(0);
    for (int failures = 0; failures < 5; failures++) {
      backoff.nextPollAt(0, random);
    }

    assertTrue(
        backoff.nextPollAt(MAX_BACKOFF_MICROS, random) - MAX_BACKOFF_MICROS
            <= MAX_BACKOFF_MICROS / 4);
  }
}
