package loomreel.upstream;

/**
 * Detects whether one worker of a static endpoint list is an outlier, which is a worker that cannot
 * be reached. Ejects the worker after several consecutive failures. While the worker is ejected,
 * schedules probes with exponential backoff until the worker responds. A probe is a call that only
 * checks whether the worker can be reached, see {@link HttpSubchannel#checkReachability}.
 *
 * <p>Reads no clock and performs no I/O: all times are parameters, in microseconds.
 */
final class OutlierDetector {
  /**
   * The number of consecutive failures after which a worker is ejected. A single lost connection
   * does not show that a worker is down.
   */
  private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;

  /** The time from the ejection to the first probe, in microseconds. */
  private static final long FIRST_PROBE_DELAY_MICROS = 500_000;

  /** The maximum time from the end of a probe to the next probe, in microseconds. */
  private static final long MAX_PROBE_DELAY_MICROS = 5_000_000;

  /** The value of {@link #probeAt} while a probe is in flight, so that no other probe is due. */
  private static final long PROBE_IN_FLIGHT = Long.MAX_VALUE;

  /** The change of the state of the worker that a success or a failure causes. */
  enum Change {
    /** The state has not changed. */
    NONE,
    /** The worker has been ejected. */
    EJECTED,
    /** The worker is no longer ejected. */
    RECOVERED
  }

  private int consecutiveFailures;
  private boolean ejected;

  /** The time from the ejection or from the end of the last probe to the next, in microseconds. */
  private long probeDelayMicros;

  /** The time at which the next probe is due, or {@link #PROBE_IN_FLIGHT}. */
  private long probeAt;

  /**
   * Records that the worker has responded, with any status.
   *
   * @return {@link Change#RECOVERED} if the worker was ejected, otherwise {@link Change#NONE}
   */
  Change recordSuccess() {
    consecutiveFailures = 0;
    boolean recovered = ejected;
    ejected = false;
    return recovered ? Change.RECOVERED : Change.NONE;
  }

  /**
   * Records that the worker could not be reached or did not respond in time, or that a probe has
   * ended without a response for any reason. While the worker is ejected, ends the probe that is in
   * flight. If no probe is in flight, the failure is that of a call from before the ejection. Such
   * a failure does not change when the next probe is due.
   *
   * @param now the current time, in microseconds
   * @return {@link Change#EJECTED} if this failure ejects the worker, otherwise {@link Change#NONE}
   */
  Change recordFailure(long now) {
    consecutiveFailures++;
    if (ejected) {
      if (probeAt == PROBE_IN_FLIGHT) {
        scheduleProbe(now, Math.min(MAX_PROBE_DELAY_MICROS, 2 * probeDelayMicros));
      }
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

  /** Returns whether the worker is ejected. */
  boolean isEjected() {
    return ejected;
  }

  /**
   * Returns whether a probe of the ejected worker is due. If a probe is due, records that a probe
   * is in flight. No other probe is due until {@link #recordFailure} has been called. If {@link
   * #recordSuccess} is called instead, the worker is no longer ejected and needs no probe. The
   * caller must report the end of each probe, whatever its outcome.
   *
   * @param now the current time, in microseconds
   */
  boolean startProbeIfDue(long now) {
    boolean isDue = ejected && now >= probeAt;
    if (isDue) {
      probeAt = PROBE_IN_FLIGHT;
    }
    return isDue;
  }
}
