package loomreel.decision;

/**
 * Estimates the fraction of the traffic of all dispatchers that this dispatcher receives. The
 * estimate compares the open attempts of this dispatcher with the numbers of active jobs that
 * workers report.
 */
final class TrafficEstimator {
  /**
   * A dispatcher is hot if its traffic is more than this multiple of the mean of all dispatchers.
   * Differences between the zones alone lead to smaller multiples.
   */
  private static final double MIN_HOT_DISPATCHER_FACTOR = 1.6;

  /**
   * The maximum number of dispatchers for which no dispatcher counts as hot. Among so few, a
   * dispatcher with much traffic may only be the single one of its zone.
   */
  private static final int MAX_DISPATCHERS_WITHOUT_CORRECTION = 10;

  /**
   * The weight of the prior, in reported jobs. The prior assumes that all dispatchers receive the
   * same traffic.
   */
  private static final int PRIOR_JOBS = 50;

  private final int dispatchers;
  private final WorkerTable workers;

  /** The decaying sum of the active jobs that workers have reported. */
  private final DecayingSum reportedJobs = new DecayingSum(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  /**
   * The decaying sum of the jobs among the reported ones that this dispatcher has sent, under the
   * assumption that its open attempts are spread evenly over the workers.
   */
  private final DecayingSum ownJobs = new DecayingSum(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  /**
   * Creates an estimator without observations.
   *
   * @param dispatchers the number of dispatchers that serve the same workers, including this one
   */
  TrafficEstimator(int dispatchers, WorkerTable workers) {
    this.dispatchers = dispatchers;
    this.workers = workers;
  }

  /** Records the number of active jobs that a worker has reported. */
  void recordReportedJobs(double activeJobs, long now) {
    reportedJobs.add(activeJobs, now);
    // The mean over all workers is added, not the number at the reporting worker. A worker is
    // checked when this dispatcher has sent little to it, so its own number would be too low.
    ownJobs.add(workers.countOpenAttempts() / (double) workers.size(), now);
  }

  /**
   * Returns this dispatcher's traffic relative to the mean of all dispatchers; 1 unless this
   * dispatcher is hot.
   */
  double factor(long now) {
    double factor =
        dispatchers > MAX_DISPATCHERS_WITHOUT_CORRECTION ? fraction(now) * dispatchers : 1;
    return factor > MIN_HOT_DISPATCHER_FACTOR ? factor : 1;
  }

  /** Returns the estimated fraction of the traffic of all dispatchers, at most 1. */
  private double fraction(long now) {
    double ownPrior = (double) PRIOR_JOBS / dispatchers;
    double ownWeight = ownJobs.valueAt(now) + ownPrior;
    double totalWeight = reportedJobs.valueAt(now) + PRIOR_JOBS;
    return Math.min(1, ownWeight / totalWeight);
  }
}
