package loomreel.http;

/**
 * Estimates the idle timeout of connections: how long a connection may be idle before it must not
 * be reused.
 *
 * <p>The settings give an upper limit. However, a middlebox between this process and the peer may
 * drop an idle connection earlier without notice, and reset the connection when the next request is
 * sent. If that request may have run, it must not be retried. Therefore the estimate is shortened
 * after several resets of reused connections. While it is not shortened, the estimate doubles every
 * {@link #DOUBLING_PERIOD_MICROS} up to the limit.
 *
 * <p>This class also determines how long a connection must be idle before it may be reused, because
 * a peer may send a duplicate of a response. Times are in microseconds of the loop's clock.
 */
public final class IdleTimeoutEstimator {
  /**
   * The minimum idle time, in microseconds, after which the reuse of a connection affects the
   * estimate. If a connection is reset after a shorter idle time, the idle time is not the cause.
   */
  private static final long MIN_IDLE_MICROS = 50_000;

  /**
   * The factor by which the idle time before a reset is multiplied to get the shortened estimate.
   */
  private static final double RESET_IDLE_FRACTION = 0.75;

  /**
   * The value of {@link #resetScore} at which a reset shortens the estimate. One or two resets are
   * not sufficient, because they may have another cause: connections are also reset when the
   * process at the peer ends.
   */
  private static final double RESET_SCORE_THRESHOLD = 3;

  /** The amount by which a reuse without a reset lowers {@link #resetScore}. */
  private static final double REUSE_CREDIT = 0.1;

  /** The time, in microseconds, in which the estimate doubles if it is not shortened. */
  private static final double DOUBLING_PERIOD_MICROS = 20_000_000;

  /** The maximum time, in microseconds, between a response and the arrival of its duplicate. */
  static final long DUPLICATE_WINDOW_MICROS = 20_000;

  /**
   * How long, in microseconds after an unsolicited response, the peer is suspected of sending
   * responses twice.
   */
  private static final long SUSPICION_PERIOD_MICROS = 10_000_000;

  private final long maxIdleTimeoutMicros;
  private long duplicatesSuspectedUntilMicros = Long.MIN_VALUE;

  /** The number of resets, less a credit for each reuse without a reset; at least 0. */
  private double resetScore;

  /** The estimate as of {@link #estimatedAtMicros}. */
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

  /** Returns the current estimate of the idle timeout, in microseconds. */
  long idleTimeout(long now) {
    if (estimateMicros >= maxIdleTimeoutMicros) {
      return maxIdleTimeoutMicros;
    }
    double growth = Math.pow(2, (now - estimatedAtMicros) / DOUBLING_PERIOD_MICROS);
    return (long) Math.min((double) maxIdleTimeoutMicros, estimateMicros * growth);
  }

  /**
   * Returns the minimum idle time, in microseconds, before any connection may be reused. Each
   * connection also has its own reuse delay, and {@link ConnectionPool} applies the larger of the
   * two values. Returns 0 if no unsolicited response was received in the last {@link
   * #SUSPICION_PERIOD_MICROS}.
   *
   * <p>After an unsolicited response, the peer is suspected of sending responses twice. If a
   * duplicate arrived on a reused connection, the duplicate would be taken for the response to the
   * next request. If the duplicate were a rejection, the dispatcher would conclude that the job in
   * the next request never ran, although the peer may be running this job.
   */
  long reuseDelayMicros(long now) {
    return now < duplicatesSuspectedUntilMicros ? DUPLICATE_WINDOW_MICROS : 0;
  }

  /**
   * Records that a connection has received bytes that do not belong to the response to a request.
   */
  void recordUnsolicitedResponse(long now) {
    duplicatesSuspectedUntilMicros = now + SUSPICION_PERIOD_MICROS;
  }

  /**
   * Records the result of a request on a connection. Has no effect if the connection had been idle
   * for less than {@link #MIN_IDLE_MICROS}.
   *
   * @param idleMicros how long the connection had been idle before the request, in microseconds
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
