package loomreel.decision;

/** A sum that decays exponentially with time. Times are microseconds. */
final class DecayingSum {
  /** Time constant of rates and means: long against one job, short against a day. */
  static final double RATE_TIME_CONSTANT_MICROS = 10e6;

  private final double timeConstantMicros;
  private double sum;
  private long updatedAt = Timestamp.NEVER;

  /**
   * @param timeConstantMicros the time after which 1/e of an amount remains, in microseconds
   */
  DecayingSum(double timeConstantMicros) {
    this.timeConstantMicros = timeConstantMicros;
  }

  /** What remains of everything that was added. */
  double valueAt(long now) {
    return sum == 0 ? 0 : sum * Math.exp((updatedAt - now) / timeConstantMicros);
  }

  /** Adds an amount, which may be negative. */
  void add(double amount, long now) {
    sum = valueAt(now) + amount;
    updatedAt = now;
  }
}
