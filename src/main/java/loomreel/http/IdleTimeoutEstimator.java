package loomreel.http;

/**
 * Estimates how long a connection may be idle and still be reused. The settings give the upper
 * limit, but a middlebox between may drop idle connections sooner, silently, and reset the next
 * request, which must not be retried if it may have run. So the estimate is shortened after such
 * resets, and doubles periodically without them. Times are microseconds of the loop's clock.
 */
public final class IdleTimeoutEstimator {
  /** A connection reset after a shorter idle time broke for another reason. */
  private static final long MIN_IDLE_MICROS = 50_000;

  /** The new estimate as a fraction of the idle time after which a connection was reset. */
  private static final double RESET_MARGIN = 0.75;

  /**
   * The score at which the estimate is shortened; fewer resets may be caused by ending processes.
   */
  private static final double RESETS_TO_SHORTEN = 3;

  /** How much each successful reuse lowers the score; a reset raises it by 1. */
  private static final double REUSE_CREDIT = 0.1;

  /** In this time without shortening the estimate doubles. */
  private static final double DOUBLING_PERIOD_MICROS = 20_000_000;

  /** A duplicate of a response arrives within this time after it. */
  static final long DUPLICATE_WINDOW_MICROS = 20_000;

  /** How long duplicates are suspected after one was seen. */
  private static final long SUSPICION_PERIOD_MICROS = 10_000_000;

  private final long maxIdleTimeout;
  private long duplicatesSuspectedUntil = Long.MIN_VALUE;
  private double resetScore;
  private long estimate;
  private long estimatedAt;

  /**
   * Creates an estimator whose first estimate is the upper limit.
   *
   * @param maxIdleTimeout the upper limit
   */
  public IdleTimeoutEstimator(long maxIdleTimeout) {
    this.maxIdleTimeout = maxIdleTimeout;
    estimate = maxIdleTimeout;
  }

  /** The current estimate. */
  long idleTimeout(long now) {
    if (estimate >= maxIdleTimeout) {
      return maxIdleTimeout;
    }
    double growth = Math.pow(2, (now - estimatedAt) / DOUBLING_PERIOD_MICROS);
    return (long) Math.min((double) maxIdleTimeout, estimate * growth);
  }

  /**
   * How long a connection must be idle before it is reused: 0 unless duplicate responses were seen
   * lately. A duplicate would be taken for the response to the next request, and could prove
   * wrongly that a running job never ran.
   */
  long reuseDelay(long now) {
    return now < duplicatesSuspectedUntil ? DUPLICATE_WINDOW_MICROS : 0;
  }

  /** Records a response to no request. */
  void recordUnsolicitedResponse(long now) {
    duplicatesSuspectedUntil = now + SUSPICION_PERIOD_MICROS;
  }

  /**
   * Records the reuse of a connection.
   *
   * @param idle how long it had been idle
   * @param reset whether the request was reset at once
   */
  void recordReuse(long idle, boolean reset, long now) {
    if (idle < MIN_IDLE_MICROS) {
      return;
    }
    resetScore = Math.max(0, resetScore + (reset ? 1 : -REUSE_CREDIT));
    if (reset && resetScore >= RESETS_TO_SHORTEN) {
      estimate = Math.min(idleTimeout(now), (long) (idle * RESET_MARGIN));
      estimatedAt = now;
    }
  }
}
