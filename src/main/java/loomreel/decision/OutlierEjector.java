package loomreel.decision;

/** Ejects workers that do not answer, with exponential backoff. */
final class OutlierEjector {
  /** A worker whose last response is younger than this is not silent yet. */
  private static final long RECENT_RESPONSE_MICROS = 400_000;

  /** At most one worker in this many is ejected at a time, or the others would be overloaded. */
  private static final int MAX_EJECTED_DIVISOR = 3;

  /** The first backoff of a silent worker, in mean run times. */
  private static final double UNRESPONSIVE_BACKOFF_RUN_TIMES = 8;

  /** The first backoff of a worker that has responded recently, in mean run times. */
  private static final double LOST_CONNECTION_BACKOFF_RUN_TIMES = 0.5;

  /** The least backoff of a full worker, in mean run times; the jitter is one more. */
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
   * Ejects a silent worker, unless many are ejected. One that has responded recently may only have
   * lost a connection: its first backoff is short.
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

  /** Ejects a worker that has rejected an attempt as full, for 0.5 to 1.5 mean run times. */
  void ejectFull(WorkerState worker) {
    double backoff =
        serviceTimes.meanRunTime() * (MIN_FULL_BACKOFF_RUN_TIMES + context.random().nextDouble());
    worker.ejectFor((long) backoff, context.now());
  }
}
