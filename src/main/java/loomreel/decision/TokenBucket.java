package loomreel.decision;

/**
 * A token bucket that is full at first. Its refill rate and its capacity may differ from call to
 * call. Times are in microseconds.
 */
final class TokenBucket {
  private double tokens;
  private long updatedAt = Timestamp.NEVER;

  /**
   * Refills the bucket and takes one token if there is one.
   *
   * @param tokensPerMicro the number of tokens per microsecond that are added for the time since
   *     the last call
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
