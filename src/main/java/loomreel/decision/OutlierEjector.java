package loomreel.decision;

/** Ejects workers that do not respond, with exponential backoff, and workers that are full. */
final class OutlierEjector {
  /**
   * A worker that has sent a response within this time, in microseconds, is not considered down
   * after a failed connection.
   */
  private static final long RECENT_RESPONSE_MICROS = 400_000;

  /**
   * An unresponsive worker is ejected only while the number of ejected workers is less than the
   * number of listed workers divided by this. Otherwise the remaining workers would be overloaded.
   */
  private static final int MAX_EJECTED_DIVISOR = 3;

  /** The backoff of the first ejection of an unresponsive worker, in mean run times. */
  private static final double UNRESPONSIVE_BACKOFF_RUN_TIMES = 8;

  /**
   * The backoff of the first ejection of a worker that failed to connect but has responded
   * recently, in mean run times.
   */
  private static final double LOST_CONNECTION_BACKOFF_RUN_TIMES = 0.5;

  /**
   * The minimum ejection time of a full worker, in mean run times. The jitter adds up to 1 mean run
   * time.
   */
  private static final double MIN_FULL_BACKOFF_RUN_TIMES = 0.5;

  private final PolicyContext context;
  private final WorkerTable workers;
  private final ServiceTimeEstimator serviceTimes;

  OutlierEjector(PolicyState state) {
    context = state.context;
    workers = state.workers;
    serviceTimes = state.serviceTimes;
  }

  /**
   * Ejects an unresponsive worker unless too many workers are ejected already. A worker that failed
   * to connect but has responded recently may only have lost a connection, so its first backoff is
   * short.
   */
  void ejectUnresponsive(WorkerState worker, AttemptOutcome outcome) {
    long now = context.now();
    boolean hasRecentResponse = now - worker.lastResponseAt() < RECENT_RESPONSE_MICROS;
    boolean isLostConnection = outcome == AttemptOutcome.CONNECT_FAILED && hasRecentResponse;
    if (MAX_EJECTED_DIVISOR * workers.countEjected(now) < workers.size()) {
      double backoffRunTimes =
          isLostConnection ? LOST_CONNECTION_BACKOFF_RUN_TIMES : UNRESPONSIVE_BACKOFF_RUN_TIMES;
      worker.eject((long) (backoffRunTimes * serviceTimes.meanRunTime()), now, context.random());
    }
  }

  /**
   * Ejects a worker that rejected an attempt because it was full. The ejection lasts 0.5 to 1.5
   * mean run times.
   */
  void ejectFull(WorkerState worker) {
    double backoff =
        serviceTimes.meanRunTime() * (MIN_FULL_BACKOFF_RUN_TIMES + context.random().nextDouble());
    worker.ejectFor((long) backoff, context.now());
  }
}
