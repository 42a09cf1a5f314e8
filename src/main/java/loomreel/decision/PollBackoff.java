package loomreel.decision;

import java.util.SplittableRandom;
import loomreel.decision.Settings.Rules;

/**
 * The schedule on which a dispatcher polls the endpoint list. Dispatchers that start together or
 * lose discovery together must not poll at the same time. The first poll is therefore spread over a
 * part of the poll interval. After a failure, the wait grows exponentially up to {@link
 * Rules#maxPollBackoff()}, with jitter over the upper half of each wait. If a failed call has
 * lasted at least as long as that maximum, discovery had accepted it, so the backoff starts again.
 * Times are in microseconds.
 */
final class PollBackoff {
  private static final int BACKOFF_FACTOR = 2;

  /** The first backoff is the maximum backoff divided by this number. */
  private static final int FIRST_BACKOFF_DIVISOR = 4;

  /** The numerator of the fraction of the poll interval within which the first poll is made. */
  private static final int FIRST_POLL_JITTER_NUMERATOR = 6;

  /** The denominator of the fraction of the poll interval within which the first poll is made. */
  private static final int FIRST_POLL_JITTER_DENOMINATOR = 40;

  private final long maxBackoff;
  private final long firstPollJitter;
  private long backoff;
  private long lastPollStartedAt = Timestamp.NEVER;

  PollBackoff(Rules rules) {
    maxBackoff = rules.maxPollBackoff();
    // The first poll is made early, because the endpoint list of a restarted dispatcher may be
    // outdated.
    firstPollJitter =
        rules.pollInterval() * FIRST_POLL_JITTER_NUMERATOR / FIRST_POLL_JITTER_DENOMINATOR;
  }

  /** Returns the time of the first poll. */
  long firstPollAt(long now, SplittableRandom random) {
    return firstPollJitter == 0 ? now : now + random.nextLong(1 + firstPollJitter);
  }

  /**
   * Returns the time of the next poll after a poll that has failed now, and increases the backoff.
   */
  long nextPollAt(long now, SplittableRandom random) {
    long previousBackoff = now - lastPollStartedAt < maxBackoff ? backoff : 0;
    backoff =
        Math.min(BACKOFF_FACTOR * previousBackoff + maxBackoff / FIRST_BACKOFF_DIVISOR, maxBackoff);
    return now + backoff / 2 + random.nextLong(1 + backoff / 2);
  }

  /** Records the start of a poll. */
  void pollStarted(long now) {
    lastPollStartedAt = now;
  }

  /** Records a response of discovery, which resets the backoff. */
  void pollSucceeded() {
    backoff = 0;
  }
}
