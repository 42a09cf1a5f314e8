package loomreel.decision;

/** Compares how long jobs take at one worker with how long they take at all. */
final class LatencyEstimator {
  /** The weight of the prior, which is the usual latency, in mean jobs. */
  private static final double PRIOR_JOBS = 3;

  private final ServiceTimeEstimator times;
  private final ServiceRate serviceRate = new ServiceRate(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  LatencyEstimator(ServiceTimeEstimator times) {
    this.times = times;
  }

  /** A job has been served; the time counts from its start, or its send if none was reported. */
  void recordServed(AttemptState attempt, double time, long now) {
    double work = attempt.request.arrival.expectedWork();
    if (!Double.isNaN(work)) {
      attempt.worker.serviceRate.add(time, work, now);
      serviceRate.add(time, work, now);
    }
  }

  /**
   * How many times as long jobs take at this worker as at all of them, for the work that they
   * announce; about 1 while little is known. An open job counts once it has taken longer than
   * usual, but no more than a mean job: its answer may be lost, and one job is weak evidence.
   */
  double latencyRatio(WorkerState worker, long now) {
    if (serviceRate.workDone(now) <= 0) {
      return 1;
    }
    double usual = serviceRate.timeSpent(now) / serviceRate.workDone(now);
    double prior = PRIOR_JOBS * times.meanRunTime();
    double work = prior + worker.serviceRate.workDone(now);
    double time = prior * usual + worker.serviceRate.timeSpent(now);
    for (AttemptState attempt : worker.openAttempts()) {
      double announced = attempt.request.arrival.expectedWork();
      long elapsed = now - attempt.startedOrSentAt();
      if (elapsed > usual * announced) {
        work += announced;
        time += Math.min((double) elapsed, usual * (announced + times.meanRunTime()));
      }
    }
    return time / work / usual;
  }
}
