package loomreel.decision;

/**
 * How fast work gets done: the time from send to end of jobs that were served, and the work that
 * their hints announced. Both decay with the same time constant.
 */
final class ServiceRate {
  private final DecayingSum timeSpent;
  private final DecayingSum workDone;

  /**
   * @param timeConstantMicros of both sums, in microseconds
   */
  ServiceRate(double timeConstantMicros) {
    timeSpent = new DecayingSum(timeConstantMicros);
    workDone = new DecayingSum(timeConstantMicros);
  }

  /** A job of this work has been served in this time. */
  void add(double serviceTime, double work, long now) {
    timeSpent.add(serviceTime, now);
    workDone.add(work, now);
  }

  double timeSpent(long now) {
    return timeSpent.valueAt(now);
  }

  double workDone(long now) {
    return workDone.valueAt(now);
  }
}
