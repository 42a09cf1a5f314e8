package loomreel.decision;

/**
 * Ejects workers. An ejected worker receives no attempts until the ejection ends. Workers that do
 * not respond are ejected with exponential backoff. Workers that are full are ejected for a short
 * time.
 */
final class OutlierEjector {
  /**
   * The time, in microseconds, during which a response counts as recent. A worker with a recent
   * response is not considered down if a connection to it fails.
   */
  private static final long RECENT_RESPONSE_MICROS = 400_000;

  /**
   * An unresponsive worker is ejected only if the number of ejected workers is less than the number
   * of listed workers divided by this number. Otherwise the remaining workers would be overloaded.
   */
  private static final int MAX_EJECTED_DIVISOR = 3;

  /**
   * The backoff of the first ejection of an unresponsive worker, as a multiple of the mean run
   * time.
   */
  private static final double UNRESPONSIVE_BACKOFF_RUN_TIMES = 8;

  /**
   * The backoff of the first ejection after a failed connection to a worker that has responded
   * recently, as a multiple of the mean run time.
   */
  private static final double LOST_CONNECTION_BACKOFF_RUN_TIMES = 0.5;

  /**
   * The minimum duration of the ejection of a full worker, as a multiple of the mean run time. The
   * jitter adds up to 1 mean run time.
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
   * Ejects an unresponsive worker, unless too many workers are already ejected. If a connection to
   * the worker failed but the worker has responded recently, the worker may still be up. The first
   * backoff is short in this case.
   *
   * @param outcome the outcome of the attempt or health check to which the worker did not respond
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
   * Ejects a worker that rejected an attempt because it was full. The duration of the ejection is
   * drawn at random from 0.5 to 1.5 mean run times.
   */
  void ejectFull(WorkerState worker) {
    double backoff =
        serviceTimes.meanRunTime() * (MIN_FULL_BACKOFF_RUN_TIMES + context.random().nextDouble());
    worker.ejectFor((long) backoff, context.now());
  }
}
