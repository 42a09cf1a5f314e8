package loomreel.decision;

/**
 * Compares the time that jobs take at one worker with the time that they take at all workers. Work
 * is the run time at speed 1 that requests announce. Work and times are in microseconds.
 */
final class LatencyEstimator {
  /**
   * The weight of the prior, in jobs of mean run time. The prior assumes that jobs take as long at
   * a worker as at all workers.
   */
  private static final double PRIOR_WEIGHT_JOBS = 3;

  private final ServiceTimeEstimator serviceTimes;

  /** The service rate of all workers together. */
  private final ServiceRate serviceRate = new ServiceRate(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  LatencyEstimator(ServiceTimeEstimator serviceTimes) {
    this.serviceTimes = serviceTimes;
  }

  /**
   * Records a job that was served. Ignores a job whose request announced no work.
   *
   * @param serviceTime the time from the start of the job to its end, or from the send if no start
   *     was reported
   */
  void recordServed(AttemptState attempt, double serviceTime, long now) {
    double work = attempt.request.arrival.expectedWork();
    if (!Double.isNaN(work)) {
      attempt.worker.serviceRate.add(serviceTime, work, now);
      serviceRate.add(serviceTime, work, now);
    }
  }

  /**
   * Returns the ratio of the time per unit of work at one worker to the time per unit of work at
   * all workers. The ratio is 1 while no job has been served, and close to 1 while little is known
   * of the worker. An open job is counted once it takes longer than its work takes at all workers.
   * The excess is limited to the time of a mean job, because the answer to the job may have been
   * lost and one job is weak evidence.
   */
  double latencyRatio(WorkerState worker, long now) {
    if (serviceRate.workDone(now) <= 0) {
      return 1;
    }
    double fleetTimePerWork = serviceRate.timeSpent(now) / serviceRate.workDone(now);
    double priorWork = PRIOR_WEIGHT_JOBS * serviceTimes.meanRunTime();
    double work = priorWork + worker.serviceRate.workDone(now);
    double serviceTime = priorWork * fleetTimePerWork + worker.serviceRate.timeSpent(now);
    for (AttemptState attempt : worker.openAttempts()) {
      double announcedWork = attempt.request.arrival.expectedWork();
      long elapsed = now - attempt.startedOrSentAt();
      if (elapsed > fleetTimePerWork * announcedWork) {
        work += announcedWork;
        serviceTime +=
            Math.min(
                (double) elapsed,
                fleetTimePerWork * (announcedWork + serviceTimes.meanRunTime()));
      }
    }
    return serviceTime / work / fleetTimePerWork;
  }
}
