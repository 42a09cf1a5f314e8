package loomreel.decision;

/**
 * Estimates which fraction of the traffic of all dispatchers this one gets, from its own open
 * attempts and the jobs that workers report.
 */
final class TrafficEstimator {
  /** A dispatcher counts as hot above this many times the mean traffic; zones explain less. */
  private static final double MIN_HOT_DISPATCHER_FACTOR = 1.6;

  /** With no more dispatchers than this, one may be the only one of a zone and yet not be hot. */
  private static final int MAX_DISPATCHERS_WITHOUT_CORRECTION = 10;

  /** Reported jobs that weigh as much as the prior, which is the same traffic everywhere. */
  private static final int PRIOR_JOBS = 50;

  private final int dispatchers;
  private final WorkerTable workers;

  /** Active jobs that workers have reported. */
  private final DecayingSum reportedJobs = new DecayingSum(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  /** How many of the reported jobs this dispatcher has sent, if workers are alike. */
  private final DecayingSum ownJobs = new DecayingSum(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  /**
   * @param dispatchers how many dispatchers serve the same workers
   */
  TrafficEstimator(int dispatchers, WorkerTable workers) {
    this.dispatchers = dispatchers;
    this.workers = workers;
  }

  /** A worker has reported the number of its active jobs. */
  void recordReportedJobs(double activeJobs, long now) {
    reportedJobs.add(activeJobs, now);
    // Of a mean worker, not of this one: a worker is queried when little has been sent to it.
    ownJobs.add(workers.countOpenAttempts() / (double) workers.size(), now);
  }

  /** This dispatcher's traffic relative to the mean of all: 1, unless it is a hot one. */
  double factor(long now) {
    double factor =
        dispatchers > MAX_DISPATCHERS_WITHOUT_CORRECTION ? fraction(now) * dispatchers : 1;
    return factor > MIN_HOT_DISPATCHER_FACTOR ? factor : 1;
  }

  private double fraction(long now) {
    double ownPrior = (double) PRIOR_JOBS / dispatchers;
    double ownWeight = ownJobs.valueAt(now) + ownPrior;
    double totalWeight = reportedJobs.valueAt(now) + PRIOR_JOBS;
    return Math.min(1, ownWeight / totalWeight);
  }
}
