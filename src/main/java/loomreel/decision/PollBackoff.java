package loomreel.decision;

import java.util.SplittableRandom;
import loomreel.decision.Settings.Rules;

/**
 * When a dispatcher polls the endpoint list, where it has to poll. Dispatchers that start or lose
 * discovery together must not poll together: the first poll is spread over a part of the interval,
 * and failures are followed by exponential backoff up to {@link Rules#maxPollBackoff()}, with
 * jitter over the upper half of each wait. A call that took as long as the longest wait was
 * accepted by discovery, so the backoff is reset after it. Times are microseconds.
 */
final class PollBackoff {
  private static final int BACKOFF_FACTOR = 2;

  /** The first backoff is this part of the longest. */
  private static final int FIRST_BACKOFF_DIVISOR = 4;

  /** The first poll is made within this fraction of the interval. */
  private static final int FIRST_POLL_JITTER_NUMERATOR = 6;

  private static final int FIRST_POLL_JITTER_DENOMINATOR = 40;

  private final long maxBackoff;
  private final long firstPollJitter;
  private long backoff;
  private long lastPollStartedAt = Timestamp.NEVER;

  PollBackoff(Rules rules) {
    maxBackoff = rules.maxPollBackoff();
    // Soon after a start, since a restarted dispatcher has an old list.
    firstPollJitter =
        rules.pollInterval() * FIRST_POLL_JITTER_NUMERATOR / FIRST_POLL_JITTER_DENOMINATOR;
  }

  /** When to poll for the first time. */
  long firstPollAt(long now, SplittableRandom random) {
    return firstPollJitter == 0 ? now : now + random.nextLong(1 + firstPollJitter);
  }

  /** When to poll after a call that has failed. */
  long nextPollAt(long now, SplittableRandom random) {
    long previousBackoff = now - lastPollStartedAt < maxBackoff ? backoff : 0;
    backoff =
        Math.min(BACKOFF_FACTOR * previousBackoff + maxBackoff / FIRST_BACKOFF_DIVISOR, maxBackoff);
    return now + backoff / 2 + random.nextLong(1 + backoff / 2);
  }

  /** A poll has started. */
  void pollStarted(long now) {
    lastPollStartedAt = now;
  }

  /** Discovery has answered. */
  void pollSucceeded() {
    backoff = 0;
  }
}
