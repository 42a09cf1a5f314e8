package loomreel.decision;

/**
 * A token bucket that is full at the first call. The refill rate and the capacity are passed with
 * each call and may differ from call to call. Times are in microseconds.
 */
final class TokenBucket {
  private double tokens;
  private long updatedAt = Timestamp.NEVER;

  /**
   * Refills the bucket and takes one token if the bucket contains at least one.
   *
   * @param tokensPerMicro the refill rate since the last call, in tokens per microsecond
   * @param capacity the maximum number of tokens in the bucket
   * @return whether a token was taken
   */
  boolean tryAcquire(double tokensPerMicro, double capacity, long now) {
    boolean isNew = updatedAt == Timestamp.NEVER;
    tokens = isNew ? capacity : Math.min(capacity, tokens + tokensPerMicro * (now - updatedAt));
    updatedAt = now;
    boolean acquired = tokens >= 1;
    tokens -= acquired ? 1 : 0;
    return acquired;
  }
}
