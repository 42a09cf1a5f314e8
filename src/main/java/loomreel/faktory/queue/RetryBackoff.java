package loomreel.faktory.queue;

import java.util.random.RandomGenerator;

/** How long a job waits before its next attempt. */
final class RetryBackoff {
  /** Delay after the first rejection: nothing ran, and there may be capacity in a moment. */
  private static final long FIRST_REJECTION_DELAY_MICROS = 100_000;

  /** Rejections beyond this double the delay no further; keeps the shift within a long. */
  private static final int MAX_DOUBLINGS = 20;

  /** Faktory's first delay after a failure; its other figures are in proportion to this one. */
  private static final double FAKTORY_BASE_SECONDS = 15;

  /** Upper bound of Faktory's random addition, for each failure so far. */
  private static final double FAKTORY_JITTER_SECONDS = 30;

  private final long baseMicros;
  private final RandomGenerator random;

  /**
   * Creates a backoff.
   *
   * @param baseMicros delay after the first failure, before jitter; also the longest delay after a
   *     rejection, before jitter
   * @param random source of the jitter; one number is drawn for each delay
   */
  RetryBackoff(long baseMicros, RandomGenerator random) {
    this.baseMicros = baseMicros;
    this.random = random;
  }

  /**
   * Returns the delay after a rejection: exponential, between half and one and a half times its
   * nominal value.
   *
   * @param earlierRejections how many rejections there were since the last failure
   * @return microseconds
   */
  long afterRejection(int earlierRejections) {
    int doublings = Math.min(MAX_DOUBLINGS, earlierRejections);
    long nominal = Math.min(baseMicros, FIRST_REJECTION_DELAY_MICROS << doublings);
    return nominal / 2 + random.nextLong(nominal + 1);
  }

  /**
   * Returns the delay after a failure by Faktory's formula, scaled to the base: count^4 + 15 s, and
   * a random part of up to 30 s times the count so that jobs that failed together are not retried
   * together.
   *
   * @param earlierFailures how many failures there were
   * @return microseconds
   */
  long afterFailure(int earlierFailures) {
    double jitter = random.nextDouble() * FAKTORY_JITTER_SECONDS * (earlierFailures + 1);
    double seconds = Math.pow(earlierFailures, 4) + FAKTORY_BASE_SECONDS + jitter;
    return (long) (baseMicros * seconds / FAKTORY_BASE_SECONDS);
  }
}
