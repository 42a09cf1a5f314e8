package loomreel.decision;

/** A sum whose value decays exponentially with time. Times are in microseconds. */
final class DecayingSum {
  /**
   * The time constant of rates and means, in microseconds. It is long compared with the run time of
   * a job and short compared with a day.
   */
  static final double RATE_TIME_CONSTANT_MICROS = 10e6;

  private final double timeConstantMicros;
  private double sum;
  private long updatedAt = Timestamp.NEVER;

  /**
   * Creates a sum of 0.
   *
   * @param timeConstantMicros the time after which a fraction of 1/e of an amount remains
   */
  DecayingSum(double timeConstantMicros) {
    this.timeConstantMicros = timeConstantMicros;
  }

  /** Returns the current value, which is the decayed sum of all added amounts. */
  double valueAt(long now) {
    return sum == 0 ? 0 : sum * Math.exp((updatedAt - now) / timeConstantMicros);
  }

  /** Adds an amount, which may be negative. */
  void add(double amount, long now) {
    sum = valueAt(now) + amount;
    updatedAt = now;
  }
}
