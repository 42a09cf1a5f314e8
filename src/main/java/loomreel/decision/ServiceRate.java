package loomreel.decision;

/**
 * The total service time and the total work of jobs that were served, as two decaying sums. The
 * jobs are those of one worker or of several workers. The total service time divided by the total
 * work is the time per unit of work. The total work divided by the total service time is the speed.
 * The work of a job is the run time at speed 1 that its request announces, without the number of
 * slots. Work and times are in microseconds.
 */
final class ServiceRate {
  private final DecayingSum timeSpent;
  private final DecayingSum workDone;

  /**
   * Creates totals of 0.
   *
   * @param timeConstantMicros the time constant of both sums
   */
  ServiceRate(double timeConstantMicros) {
    timeSpent = new DecayingSum(timeConstantMicros);
    workDone = new DecayingSum(timeConstantMicros);
  }

  /**
   * Adds a job that was served to both totals.
   *
   * @param serviceTime the time that the job took
   * @param work the work that the request of the job announced
   */
  void add(double serviceTime, double work, long now) {
    timeSpent.add(serviceTime, now);
    workDone.add(work, now);
  }

  /** Returns the total service time, as a decayed sum. */
  double timeSpent(long now) {
    return timeSpent.valueAt(now);
  }

  /** Returns the total announced work, as a decayed sum. */
  double workDone(long now) {
    return workDone.valueAt(now);
  }
}
