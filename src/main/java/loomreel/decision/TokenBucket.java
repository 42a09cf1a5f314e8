package loomreel.decision;

/** A token bucket that starts full. Its rate and capacity may differ from call to call. */
final class TokenBucket {
  private double tokens;
  private long updatedAt = Timestamp.NEVER;

  /**
   * Takes one token, if there is one.
   *
   * @param tokensPerMicro tokens per microsecond since the last call
   * @param capacity the most tokens that the bucket holds
   * @return whether there was a token
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
