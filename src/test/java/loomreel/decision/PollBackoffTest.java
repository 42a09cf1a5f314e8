package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import loomreel.decision.Settings.Rules;
import org.junit.jupiter.api.Test;

class PollBackoffTest {
  private static final Rules RULES = DispatcherHarness.RULES;
  private static final long MAX = RULES.maxPollBackoff();

  private final PollBackoff backoff = new PollBackoff(RULES);
  private final SplittableRandom random = new SplittableRandom(1);

  @Test
  void theFirstPollIsMadeWithinAPartOfTheInterval() {
    for (int i = 0; i < 1000; i++) {
      long time = backoff.firstPollAt(100, random);

      assertTrue(time >= 100 && time <= 100 + RULES.pollInterval() * 6 / 40, "at " + time);
    }
  }

  @Test
  void whereListsArePushedTheFirstPollNeedsNoJitter() {
    Rules pushed = new Rules(500_000, 0, 0.2, 20_000_000, 3, 2_000_000);

    assertEquals(100, new PollBackoff(pushed).firstPollAt(100, random));
  }

  @Test
  void failuresBackOffUpToTheLimit() {
    long nowMicros = 0;
    for (int failures = 0; failures < 10; failures++) {
      backoff.pollStarted(nowMicros);
      long wait = backoff.nextPollAt(nowMicros, random) - nowMicros;

      assertTrue(wait >= MAX / 8 && wait <= MAX, failures + " failures: " + wait);
      nowMicros += 1;
    }
    assertTrue(
        backoff.nextPollAt(nowMicros, random) - nowMicros >= MAX / 2,
        "the upper half of the limit");
  }

  @Test
  void anAnswerResetsTheBackoff() {
    backoff.pollStarted(0);
    for (int failures = 0; failures < 5; failures++) {
      backoff.nextPollAt(0, random);
    }

    backoff.pollSucceeded();

    assertTrue(backoff.nextPollAt(0, random) <= MAX / 4);
  }

  @Test
  void aCallAsLongAsTheLimitResetsTheBackoff() {
    backoff.pollStarted(0);
    for (int failures = 0; failures < 5; failures++) {
      backoff.nextPollAt(0, random);
    }

    assertTrue(backoff.nextPollAt(MAX, random) - MAX <= MAX / 4);
  }
}
