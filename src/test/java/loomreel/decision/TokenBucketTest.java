package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TokenBucketTest {
  private static final double TOKENS_PER_MICROSECOND = 0.001;
  private static final double CAPACITY = 2;

  private final TokenBucket bucket = new TokenBucket();

  private boolean tryAcquire(long nowMicros) {
    return bucket.tryAcquire(TOKENS_PER_MICROSECOND, CAPACITY, nowMicros);
  }

  @Test
  void aNewBucketIsFull() {
    assertTrue(tryAcquire(0));
    assertTrue(tryAcquire(0));
    assertFalse(tryAcquire(0));
  }

  @Test
  void aBucketRefillsAtItsRate() {
    tryAcquire(0);
    tryAcquire(0);

    assertFalse(tryAcquire(999));
    assertTrue(tryAcquire(2000));
  }

  @Test
  void aBucketHoldsNoMoreThanItsCapacity() {
    tryAcquire(0);

    assertTrue(tryAcquire(1_000_000));
    assertTrue(tryAcquire(1_000_000));
    assertFalse(tryAcquire(1_000_000));
  }
}
