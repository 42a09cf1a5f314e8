package loomreel.decision;

/**
 * A sum of amounts in which each amount decays exponentially with the time since it was added.
 * Times are in microseconds.
 */
final class DecayingSum {
  /**
   * The time constant, in microseconds, of the sums from which most rates and means are computed.
   * It is 10 seconds, which is long compared with the run time of a job and short compared with a
   * day. Users of this class pass it to the constructor. Some sums have other time constants.
   */
  static final double RATE_TIME_CONSTANT_MICROS = 10e6;

  private final double timeConstantMicros;
  private double sum;
  private long updatedAt = Timestamp.NEVER;

  /**
   * Creates a sum of 0.
   *
   * @param timeConstantMicros the time after which the fraction 1/e of an amount remains
   */
  DecayingSum(double timeConstantMicros) {
    this.timeConstantMicros = timeConstantMicros;
  }

  /**
   * Returns the sum as it has decayed until the given time. This time must not be earlier than the
   * time at which the last amount was added.
   */
  double valueAt(long now) {
    return sum == 0 ? 0 : sum * Math.exp((updatedAt - now) / timeConstantMicros);
  }

  /** Adds an amount, which may be negative, at the given time. */
  void add(double amount, long now) {
    sum = valueAt(now) + amount;
    updatedAt = now;
  }
}
