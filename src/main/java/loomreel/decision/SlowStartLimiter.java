package loomreel.decision;

/**
 * Limits the work that one dispatcher sends to one worker that warms up. The allowance refills at
 * this dispatcher's part of the rate that all may send together, and is capped low, so that no
 * burst spends it at once. Work is slots times microseconds.
 *
 * <p><b>The bound</b> that the platform sets: beyond the budget of {@code N} requests of mean work
 * in the overload window, only {@code 2 sqrt(N) + 2} count as chance, over the sum of what all
 * processes send. Let all of them together refill at {@code m <= N} requests in that window. An
 * allowance starts at a point drawn evenly over a mean job, so each process's sends are a periodic
 * sequence at a random phase, and the sum over many dispatchers approaches a compound Poisson law
 * with a mean of {@code m} and a variance of {@code m E[x^2] / E[x]}, {@code x} being a job's work
 * in mean jobs. Where the standard deviation of work is twice its mean that is {@code 5 m}, which
 * exceeds the bound. Requests heavier than {@link #MAX_RELATIVE_WORK} means therefore go elsewhere
 * while enough workers are warm: the variance is then at most {@code 2 m}. SlowStartLimiterTest
 * simulates the bound. Not covered: work that is not announced and varies by more than 0.7 of its
 * class's mean, and heavy requests while fewer than one worker in three is warm.
 */
final class SlowStartLimiter {
  /** Heavier requests, in mean ones, go elsewhere, since a few of them could overload a worker. */
  static final double MAX_RELATIVE_WORK = 2;

  /** The allowance of at most this part of the overload window may be saved up. */
  private static final double MAX_SAVED_WINDOW_FRACTION = 1 / 4.0;

  private double allowance;
  private long updatedAt;

  /** The worker has started: this much work may be sent at once. */
  void restart(double initialAllowance, long now) {
    allowance = initialAllowance;
    updatedAt = now;
  }

  /**
   * Whether a request may be sent now; refills the allowance first. A request heavier than the cap
   * may go when the allowance is full, and overdraws it; a light one waits for as much as a mean
   * one, or every dispatcher would send its light ones as soon as the worker starts.
   *
   * @param rate how fast the allowance refills: work per microsecond
   * @param meanWork the mean work of the requests that may go to warming workers
   * @param overloadWindow the time within which too much work makes the worker fail
   * @param work the work of the request
   * @param maxWork the work of the heaviest request that may go
   */
  boolean allows(
      double rate, double meanWork, long overloadWindow, double work, double maxWork, long now) {
    double capacity = Math.max(meanWork, rate * overloadWindow * MAX_SAVED_WINDOW_FRACTION);
    allowance = Math.min(capacity, allowance + rate * (now - updatedAt));
    updatedAt = now;
    return work <= maxWork && allowance >= Math.min(capacity, Math.max(meanWork, work));
  }

  /** A request of this work was sent. */
  void consume(double work) {
    allowance -= work;
  }
}
