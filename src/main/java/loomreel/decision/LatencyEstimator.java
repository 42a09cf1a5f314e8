package loomreel.decision;

/** Compares how long jobs take at one worker with how long they take at all. */
final class LatencyEstimator {
  /** The weight of the prior, which is the usual latency, in mean jobs. */
  private static final double PRIOR_WEIGHT_JOBS = 3;

  private final ServiceTimeEstimator serviceTimes;
  private final ServiceRate serviceRate = new ServiceRate(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  LatencyEstimator(ServiceTimeEstimator serviceTimes) {
    this.serviceTimes = serviceTimes;
  }

  /** A job has been served; the time counts from its start, or its send if none was reported. */
  void recordServed(AttemptState attempt, double serviceTime, long now) {
    double work = attempt.request.arrival.expectedWork();
    if (!Double.isNaN(work)) {
      attempt.worker.serviceRate.add(serviceTime, work, now);
      serviceRate.add(serviceTime, work, now);
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
