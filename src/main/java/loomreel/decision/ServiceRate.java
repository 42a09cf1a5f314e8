package loomreel.decision;

/**
 * The service times and the work of the jobs that one worker or several workers have served. Both
 * are {@link DecayingSum}s, in which recent jobs weigh most. The sum of the service times divided
 * by the sum of the work is the time per unit of work. The sum of the work divided by the sum of
 * the service times is the speed. At speed 1, the service time of a job equals its work.
 *
 * <p>The work of a job is the run time at speed 1 that its request announces. It is not multiplied
 * by the number of slots of the job. Work and times are in microseconds.
 */
final class ServiceRate {
  private final DecayingSum timeSpent;
  private final DecayingSum workDone;

  /**
   * Creates two sums of 0.
   *
   * @param timeConstantMicros the time constant of both sums
   */
  ServiceRate(double timeConstantMicros) {
    timeSpent = new DecayingSum(timeConstantMicros);
    workDone = new DecayingSum(timeConstantMicros);
  }

  /**
   * Adds the service time and the work of a job that was served to the sums.
   *
   * @param serviceTime the time that the job took
   * @param work the work that the request of the job announced
   */
  void add(double serviceTime, double work, long now) {
    timeSpent.add(serviceTime, now);
    workDone.add(work, now);
  }

  /** Returns the decaying sum of the service times at the given time. */
  double timeSpent(long now) {
    return timeSpent.valueAt(now);
  }

  /** Returns the decaying sum of the announced work at the given time. */
  double workDone(long now) {
    return workDone.valueAt(now);
  }
}
