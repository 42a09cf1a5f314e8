package loomreel.decision;

/**
 * Compares the time per unit of work of one worker with that of all workers together. The work of a
 * job is the run time at speed 1 that its request announces; {@link
 * Event.RequestArrived#expectedWork()} describes it. Work and times are in microseconds.
 */
final class LatencyEstimator {
  /**
   * The number of assumed jobs that are added to the jobs that a worker has served. The work of an
   * assumed job is the mean run time, and its time per unit of work is that of all workers. The
   * assumed jobs keep the ratio of a worker that has served few jobs close to 1.
   */
  private static final double PRIOR_WEIGHT_JOBS = 3;

  private final ServiceTimeEstimator serviceTimes;

  /** The service times and the work of the jobs of all workers. */
  private final ServiceRate serviceRate = new ServiceRate(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  LatencyEstimator(ServiceTimeEstimator serviceTimes) {
    this.serviceTimes = serviceTimes;
  }

  /**
   * Records a job that was served. Ignores a job whose request announced no work.
   *
   * @param serviceTime the time from the start of the job to its end; if no start was reported, the
   *     time from the send of the attempt to its end
   */
  void recordServed(AttemptState attempt, double serviceTime, long now) {
    double work = attempt.request.arrival.expectedWork();
    if (!Double.isNaN(work)) {
      attempt.worker.serviceRate.add(serviceTime, work, now);
      serviceRate.add(serviceTime, work, now);
    }
  }

  /**
   * Returns the time per unit of work of one worker, divided by that of all workers. The ratio is
   * above 1 if the worker is slower than the mean of all workers. It is 1 while no worker has
   * served a job with announced work, and close to 1 while this worker has served few such jobs.
   *
   * <p>An open attempt with announced work is included from the time at which it has taken longer
   * than this work takes at all workers on average. Its time counts only up to this average time
   * plus the average time of a job of mean run time. The limit is needed because the answer to the
   * job may have been lost and a single job is weak evidence.
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
                (double) elapsed, fleetTimePerWork * (announcedWork + serviceTimes.meanRunTime()));
      }
    }
    return serviceTime / work / fleetTimePerWork;
  }
}
