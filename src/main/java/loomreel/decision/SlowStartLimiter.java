package loomreel.decision;

/**
 * Limits the work that one dispatcher sends to one worker that warms up. The limiter holds an
 * allowance of work. The allowance is refilled at this dispatcher's share of the rate at which all
 * dispatchers together may send work. Its capacity is small, so that no burst can use much of the
 * limit at once. Work is the number of slots multiplied by the run time in microseconds.
 *
 * <p><b>Bound on the work of all dispatchers.</b> Let {@code N} be the number of requests of mean
 * work that the platform allows a warming worker to receive in the overload window. The platform
 * tolerates a random excess of up to {@code 2 sqrt(N) + 2} requests, over the sum of what all
 * processes send. Let the allowances of all processes together be refilled at {@code m <= N}
 * requests per window. Each allowance starts at a value drawn uniformly from 0 to the mean work of
 * a job. The requests that one process sends therefore form a periodic sequence with a random
 * phase, and the sum over many dispatchers approaches a compound Poisson distribution. Its mean is
 * {@code m} and its variance is {@code m E[x^2] / E[x]}, where {@code x} is the work of a job
 * divided by the mean work. If the standard deviation of the work is twice the mean, the variance
 * is {@code 5 m}, which exceeds the bound. Requests heavier than {@link #MAX_RELATIVE_WORK} times
 * the mean are therefore sent to other workers while enough workers are warm. The variance is then
 * at most {@code 2 m}. SlowStartLimiterTest simulates the bound. Two cases are not covered: work
 * that is not announced and varies by more than 0.7 of the mean of its class, and heavy requests
 * while fewer than one worker in three is warm.
 */
final class SlowStartLimiter {
  /**
   * The maximum work of a request for a warming worker, as a multiple of the mean work of all
   * requests. Heavier requests are sent to other workers, because a few of them could overload a
   * worker.
   */
  static final double MAX_RELATIVE_WORK = 2;

  /**
   * The capacity of the allowance is the work that is refilled during this fraction of the overload
   * window, but not less than the mean work of a request.
   */
  private static final double MAX_SAVED_WINDOW_FRACTION = 1 / 4.0;

  private double allowance;
  private long updatedAt;

  /**
   * Resets the allowance because the worker has started.
   *
   * @param initialAllowance the work that may be sent at once
   */
  void restart(double initialAllowance, long now) {
    allowance = initialAllowance;
    updatedAt = now;
  }

  /**
   * Refills the allowance and returns whether a request may be sent now. A request that is heavier
   * than the capacity may be sent if the allowance is full, and overdraws it. A request that is
   * lighter than the mean has to wait until the allowance suffices for a request of mean work.
   * Otherwise every dispatcher would send its light requests as soon as the worker starts.
   *
   * @param rate the work per microsecond at which the allowance is refilled
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

  /** Deducts the work of a request that is sent from the allowance, which may become negative. */
  void consume(double work) {
    allowance -= work;
  }
}
