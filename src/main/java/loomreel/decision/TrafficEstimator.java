package loomreel.decision;

/**
 * Estimates which fraction of the traffic of all dispatchers this dispatcher receives. Workers
 * report the number of their active jobs, which come from all dispatchers. The estimate compares
 * these numbers with the number of attempts that this dispatcher has open.
 */
final class TrafficEstimator {
  /**
   * A dispatcher is hot if its traffic divided by the mean traffic of all dispatchers exceeds this
   * number. Differences between the zones alone lead to smaller quotients.
   */
  private static final double MIN_HOT_DISPATCHER_FACTOR = 1.6;

  /**
   * The number of dispatchers up to which no dispatcher counts as hot. With so few dispatchers, a
   * dispatcher may have much traffic only because it is the single one in its zone.
   */
  private static final int MAX_DISPATCHERS_WITHOUT_CORRECTION = 10;

  /**
   * The number of assumed jobs that are added to the reported jobs. The assumed jobs are divided
   * equally among all dispatchers. They keep the estimate close to equal traffic while few jobs
   * have been reported.
   */
  private static final int PRIOR_JOBS = 50;

  private final int dispatchers;
  private final WorkerTable workers;

  /** The decaying sum of the numbers of active jobs that workers have reported. */
  private final DecayingSum reportedJobs = new DecayingSum(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  /**
   * The part of {@link #reportedJobs} that this dispatcher is estimated to have sent. For each
   * report, the mean number of this dispatcher's open attempts per worker is added.
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
    // The mean over all workers is added instead of the number of open attempts at the reporting
    // worker. This dispatcher checks the health of a worker when it has sent little to the worker,
    // so the number at the reporting worker would be too low.
    ownJobs.add(workers.countOpenAttempts() / (double) workers.size(), now);
  }

  /**
   * Returns the traffic of this dispatcher divided by the mean traffic of all dispatchers. The
   * result is 1 unless this dispatcher is hot.
   */
  double factor(long now) {
    double factor =
        dispatchers > MAX_DISPATCHERS_WITHOUT_CORRECTION ? fraction(now) * dispatchers : 1;
    return factor > MIN_HOT_DISPATCHER_FACTOR ? factor : 1;
  }

  /**
   * Returns the estimated fraction of the traffic of all dispatchers that this dispatcher receives,
   * at most 1.
   */
  private double fraction(long now) {
    double ownPrior = (double) PRIOR_JOBS / dispatchers;
    double ownWeight = ownJobs.valueAt(now) + ownPrior;
    double totalWeight = reportedJobs.valueAt(now) + PRIOR_JOBS;
    return Math.min(1, ownWeight / totalWeight);
  }
}
