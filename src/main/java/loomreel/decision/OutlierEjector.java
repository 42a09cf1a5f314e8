package loomreel.decision;

/** Ejects workers that do not answer, with exponential backoff. */
final class OutlierEjector {
  /** A worker whose last response is younger than this is not silent yet. */
  private static final long RECENT_RESPONSE_MICROS = 400_000;

  /** At most one worker in this many is ejected at a time, or the others would be overloaded. */
  private static final int MAX_EJECTED_DIVISOR = 3;

  /** The first backoff of a silent worker, in mean run times. */
  private static final double SILENT_BACKOFF_JOBS = 8;

  /** The first backoff of a worker that has responded recently, in mean run times. */
  private static final double LOST_CONNECTION_BACKOFF_JOBS = 0.5;

  /** The least backoff of a full worker, in mean run times; the jitter is one more. */
  private static final double MIN_FULL_BACKOFF_JOBS = 0.5;

  private final PolicyContext context;
  private final WorkerTable workers;
  private final ServiceTimeEstimator times;

  OutlierEjector(PolicyState state) {
    context = state.context;
    workers = state.workers;
    times = state.times;
  }

  /**
   * Ejects a silent worker, unless many are ejected. One that has responded recently may only have
   * lost a connection: its first backoff is short.
   */
  void ejectSilent(WorkerState worker, AttemptOutcome outcome) {
    long now = context.now();
    boolean hasRespondedRecently = now - worker.lastResponseAt() < RECENT_RESPONSE_MICROS;
    boolean isBrief = outcome == AttemptOutcome.CONNECT_FAILED && hasRespondedRecently;
    if (MAX_EJECTED_DIVISOR * workers.countEjected(now) < workers.size()) {
      double jobs = isBrief ? LOST_CONNECTION_BACKOFF_JOBS : SILENT_BACKOFF_JOBS;
      worker.eject((long) (jobs * times.meanRunTime()), now, context.random());
    }
  }

  /** Ejects a worker that has rejected an attempt as full, for 0.5 to 1.5 mean run times. */
  void ejectFull(WorkerState worker) {
    double backoff = times.meanRunTime() * (MIN_FULL_BACKOFF_JOBS + context.random().nextDouble());
    worker.ejectFor((long) backoff, context.now());
  }
}
