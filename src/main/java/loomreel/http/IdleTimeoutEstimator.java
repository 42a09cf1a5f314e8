package loomreel.http;

/**
 * Estimates how long a connection may be idle and still be reused. The settings give an upper
 * limit, but a middlebox between this process and the peer may drop an idle connection earlier
 * without notice and reset the next request. That request must not be retried if it may have run.
 * The estimate is therefore shortened after such resets, and doubles periodically without them.
 *
 * <p>Times are in microseconds of the loop's clock.
 */
public final class IdleTimeoutEstimator {
  /**
   * The minimum idle time of a connection, in microseconds, after which its reuse is taken into
   * account. A reset after a shorter idle time has another cause.
   */
  private static final long MIN_IDLE_MICROS = 50_000;

  /** The shortened estimate as a fraction of the idle time after which a connection was reset. */
  private static final double RESET_IDLE_FRACTION = 0.75;

  /**
   * The score of resets at which the estimate is shortened. Fewer resets may be caused by worker
   * processes that end.
   */
  private static final double RESET_SCORE_THRESHOLD = 3;

  /** The amount by which a successful reuse lowers the score. A reset raises it by 1. */
  private static final double REUSE_CREDIT = 0.1;

  /** The time, in microseconds, in which the estimate doubles unless it is shortened. */
  private static final double DOUBLING_PERIOD_MICROS = 20_000_000;

  /** The maximum time between a response and its duplicate, in microseconds. */
  static final long DUPLICATE_WINDOW_MICROS = 20_000;

  /** How long further duplicates are suspected after one was received, in microseconds. */
  private static final long SUSPICION_PERIOD_MICROS = 10_000_000;

  private final long maxIdleTimeoutMicros;
  private long duplicatesSuspectedUntilMicros = Long.MIN_VALUE;
  private double resetScore;
  private long estimateMicros;
  private long estimatedAtMicros;

  /**
   * Creates an estimator whose first estimate is the upper limit.
   *
   * @param maxIdleTimeoutMicros the upper limit of the estimate, in microseconds
   */
  public IdleTimeoutEstimator(long maxIdleTimeoutMicros) {
    this.maxIdleTimeoutMicros = maxIdleTimeoutMicros;
    estimateMicros = maxIdleTimeoutMicros;
  }

  /** Returns the current estimate, in microseconds. */
  long idleTimeout(long now) {
    if (estimateMicros >= maxIdleTimeoutMicros) {
      return maxIdleTimeoutMicros;
    }
    double growth = Math.pow(2, (now - estimatedAtMicros) / DOUBLING_PERIOD_MICROS);
    return (long) Math.min((double) maxIdleTimeoutMicros, estimateMicros * growth);
  }

  /**
   * Returns how long a connection must be idle before it is reused, in microseconds: 0 unless
   * duplicate responses were received recently. A duplicate would be taken for the response to the
   * next request, and could wrongly prove that a running job never ran.
   */
  long reuseDelayMicros(long now) {
    return now < duplicatesSuspectedUntilMicros ? DUPLICATE_WINDOW_MICROS : 0;
  }

  /** Records that a connection has received bytes that are not the response to a request. */
  void recordUnsolicitedResponse(long now) {
    duplicatesSuspectedUntilMicros = now + SUSPICION_PERIOD_MICROS;
  }

  /**
   * Records the reuse of a connection.
   *
   * @param idleMicros how long the connection had been idle, in microseconds
   * @param reset whether the connection was reset soon after the request
   */
  void recordReuse(long idleMicros, boolean reset, long now) {
    if (idleMicros < MIN_IDLE_MICROS) {
      return;
    }
    resetScore = Math.max(0, resetScore + (reset ? 1 : -REUSE_CREDIT));
    if (reset && resetScore >= RESET_SCORE_THRESHOLD) {
      estimateMicros = Math.min(idleTimeout(now), (long) (idleMicros * RESET_IDLE_FRACTION));
      estimatedAtMicros = now;
    }
  }
}
