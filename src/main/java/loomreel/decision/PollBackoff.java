package loomreel.decision;

import java.util.SplittableRandom;
import loomreel.decision.Settings.Rules;

/**
 * The times at which the policy starts polls of the endpoint list. The policy starts the first poll
 * after the start of the dispatcher, and one poll after each failed poll. It does not start the
 * polls that follow a successful poll. Times are in microseconds.
 *
 * <p>Many dispatchers may start together or lose the connection to discovery together, and should
 * then not poll at the same time. The first poll is therefore made at a random time within a part
 * of the poll interval.
 *
 * <p>After a failed poll, the policy waits before it starts the next poll. The backoff grows
 * exponentially with each failure up to {@link Rules#maxPollBackoff()}, and the wait is drawn at
 * random from half the backoff to the full backoff. If at least the maximum backoff has passed
 * between the last poll that the policy started and the failure, discovery is assumed to have
 * accepted that poll. In this case, the backoff starts again from its first value.
 */
final class PollBackoff {
  private static final int BACKOFF_FACTOR = 2;

  /**
   * The first backoff is the maximum backoff divided by this number. Each later backoff is the
   * previous one multiplied by {@link #BACKOFF_FACTOR}, plus the first backoff, up to the maximum.
   */
  private static final int FIRST_BACKOFF_DIVISOR = 4;

  /**
   * The first poll is made within a fraction of the poll interval. This is the numerator of the
   * fraction.
   */
  private static final int FIRST_POLL_JITTER_NUMERATOR = 6;

  /**
   * The denominator of the fraction of which {@link #FIRST_POLL_JITTER_NUMERATOR} is the numerator.
   */
  private static final int FIRST_POLL_JITTER_DENOMINATOR = 40;

  private final long maxBackoff;

  /** The maximum time between the start of the dispatcher and the first poll. */
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

  /** Returns the time of the first poll, which is drawn at random. */
  long firstPollAt(long now, SplittableRandom random) {
    return firstPollJitter == 0 ? now : now + random.nextLong(1 + firstPollJitter);
  }

  /**
   * Updates the backoff and returns the time of the next poll. Must be called when a poll fails. If
   * less than the maximum backoff has passed since the last call of {@link #pollStarted}, the
   * backoff increases, unless it is already at the maximum. Otherwise the backoff is set to its
   * first value.
   *
   * @param now the time at which the poll failed
   */
  long nextPollAt(long now, SplittableRandom random) {
    long previousBackoff = now - lastPollStartedAt < maxBackoff ? backoff : 0;
    backoff =
        Math.min(BACKOFF_FACTOR * previousBackoff + maxBackoff / FIRST_BACKOFF_DIVISOR, maxBackoff);
    return now + backoff / 2 + random.nextLong(1 + backoff / 2);
  }

  /** Records that the policy starts a poll. */
  void pollStarted(long now) {
    lastPollStartedAt = now;
  }

  /** Records that discovery has answered a poll, and resets the backoff. */
  void pollSucceeded() {
    backoff = 0;
  }
}
