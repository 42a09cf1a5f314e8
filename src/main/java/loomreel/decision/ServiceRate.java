package loomreel.decision;

/**
 * The decaying sums of the service times and of the work of jobs that were served. Their quotient
 * is the service time per unit of work. Work is the run time at speed 1 that requests announce.
 * Work and times are in microseconds.
 */
final class ServiceRate {
  private final DecayingSum timeSpent;
  private final DecayingSum workDone;

  /**
   * Creates a rate without jobs.
   *
   * @param timeConstantMicros the time constant of both sums
   */
  ServiceRate(double timeConstantMicros) {
    timeSpent = new DecayingSum(timeConstantMicros);
    workDone = new DecayingSum(timeConstantMicros);
  }

  /**
   * Records a job that was served.
   *
   * @param serviceTime the time that the job took
   * @param work the work that its request announced
   */
  void add(double serviceTime, double work, long now) {
    timeSpent.add(serviceTime, now);
    workDone.add(work, now);
  }

  /** Returns the decayed sum of the service times. */
  double timeSpent(long now) {
    return timeSpent.valueAt(now);
  }

  /** Returns the decayed sum of the announced work. */
  double workDone(long now) {
    return workDone.valueAt(now);
  }
}
