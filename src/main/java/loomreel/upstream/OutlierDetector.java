package loomreel.upstream;

/**
 * Outlier detection for one worker of a static endpoint list: ejects it after several consecutive
 * failures, and schedules probes of it with exponential backoff until it responds again.
 *
 * <p>All times are passed in, in microseconds; it reads no clock and does no I/O.
 */
final class OutlierDetector {
  /** A single lost connection is no evidence that a worker is down. */
  private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;

  private static final long FIRST_PROBE_DELAY_MICROS = 500_000;
  private static final long MAX_PROBE_DELAY_MICROS = 5_000_000;

  /** While a probe is in flight no other is due. */
  private static final long PROBE_IN_FLIGHT = Long.MAX_VALUE;

  /** What a result has changed. */
  enum Change {
    /** Nothing. */
    NONE,
    /** The worker was ejected. */
    EJECTED,
    /** The worker is no longer ejected. */
    RECOVERED
  }

  private int consecutiveFailures;
  private boolean ejected;
  private long probeDelayMicros;
  private long probeAt;

  /** The worker has responded, with whatever status. */
  Change recordSuccess() {
    consecutiveFailures = 0;
    boolean recovered = ejected;
    ejected = false;
    return recovered ? Change.RECOVERED : Change.NONE;
  }

  /** The worker could not be reached, or did not respond in time. */
  Change recordFailure(long now) {
    consecutiveFailures++;
    if (ejected) {
      scheduleProbe(now, Math.min(MAX_PROBE_DELAY_MICROS, 2 * probeDelayMicros));
      return Change.NONE;
    }
    if (consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT) {
      return Change.NONE;
    }
    ejected = true;
    scheduleProbe(now, FIRST_PROBE_DELAY_MICROS);
    return Change.EJECTED;
  }

  private void scheduleProbe(long now, long delayMicros) {
    probeDelayMicros = delayMicros;
    probeAt = now + delayMicros;
  }

  /** Whether the worker is ejected. */
  boolean isEjected() {
    return ejected;
  }

  /** Whether to probe the worker now; if so, no other probe is due before this one has failed. */
  boolean takeDueProbe(long now) {
    boolean isDue = ejected && now >= probeAt;
    if (isDue) {
      probeAt = PROBE_IN_FLIGHT;
    }
    return isDue;
  }
}
