package loomreel.decision;

/**
 * Limits the work that one process of a dispatcher sends to one worker that warms up. The limiter
 * holds an allowance of work. The allowance is refilled at a given rate, which is this process's
 * part of the rate at which all dispatchers together may send work to the worker. Each request that
 * is sent reduces the allowance by its work. The capacity of the allowance is small, so that no
 * burst can use much of the limit at once. Work is the number of slots multiplied by the run time
 * in microseconds.
 *
 * <p><b>Limit of the platform.</b> A warming worker fails if it receives too much work within the
 * overload window. Let {@code N} be the number of requests of mean work that the platform allows
 * the worker to receive in the window. The number that all processes together send varies at
 * random, so it may exceed {@code N}. It is acceptable up to the bound {@code N + 2 sqrt(N) + 2}.
 *
 * <p><b>Work of all dispatchers.</b> Let the allowances of all processes together be refilled at
 * {@code m <= N} requests of mean work per window. Each allowance starts at a value that is drawn
 * uniformly from 0 to the mean work of a job. The requests that one process sends therefore form a
 * periodic sequence with a random phase. The sum of these sequences over many dispatchers
 * approaches a compound Poisson distribution. Let {@code x} be the work of a job divided by the
 * mean work. The mean of the sum is {@code m}, and its variance is {@code m E[x^2] / E[x]}.
 *
 * <p><b>Heavy requests.</b> If the standard deviation of the work is twice the mean, the variance
 * is {@code 5 m}, and the sum exceeds the bound. While enough workers are warm, requests heavier
 * than {@link #MAX_RELATIVE_WORK} times the mean are therefore sent to other workers. The variance
 * is then at most {@code 2 m}. SlowStartLimiterTest simulates the bound.
 *
 * <p><b>Exceptions.</b> The bound does not cover two cases. In the first case, requests do not
 * announce their work, and the standard deviation of the work is more than 0.7 of the mean of its
 * class. In the second case, there are heavy requests while fewer than one worker in three is warm.
 */
final class SlowStartLimiter {
  /**
   * The maximum work of a request for a warming worker while enough workers are warm, as a multiple
   * of the mean work of all requests. Heavier requests are sent to other workers, because a few
   * heavy requests could overload a warming worker.
   */
  static final double MAX_RELATIVE_WORK = 2;

  /**
   * The fraction of the overload window for which the allowance can accumulate refills. The
   * capacity of the allowance is the work that is refilled during this time, but not less than the
   * mean work of a request.
   */
  private static final double MAX_SAVED_WINDOW_FRACTION = 1 / 4.0;

  /** The work that may be sent now; negative after a heavy request. */
  private double allowance;

  private long updatedAt;

  /**
   * Resets the allowance, because the worker has started or an operator has enabled it.
   *
   * @param initialAllowance the work that may be sent at once
   */
  void restart(double initialAllowance, long now) {
    allowance = initialAllowance;
    updatedAt = now;
  }

  /**
   * Refills the allowance and returns whether a request may be sent now. The work of the request is
   * not deducted; {@link #consume} does this.
   *
   * <p>If the work of the request is less than the mean work, the request has to wait until the
   * allowance suffices for a request of mean work. Without this condition, every dispatcher would
   * send its light requests as soon as the worker starts. If the work of the request exceeds the
   * capacity of the allowance, the request may be sent once the allowance is full. The allowance is
   * then overdrawn.
   *
   * @param rate the refill rate of the allowance, in work per microsecond
   * @param meanWork the mean work of the requests that may be sent to warming workers
   * @param overloadWindow the time, in microseconds, over which too much work makes the worker fail
   * @param work the work of the request
   * @param maxWork the maximum work of a request for this worker; infinite if there is no limit
   */
  boolean allows(
      double rate, double meanWork, long overloadWindow, double work, double maxWork, long now) {
    double capacity = Math.max(meanWork, rate * overloadWindow * MAX_SAVED_WINDOW_FRACTION);
    allowance = Math.min(capacity, allowance + rate * (now - updatedAt));
    updatedAt = now;
    return work <= maxWork && allowance >= Math.min(capacity, Math.max(meanWork, work));
  }

  /**
   * Deducts the work of a request that is sent from the allowance. The allowance may become
   * negative.
   */
  void consume(double work) {
    allowance -= work;
  }
}
