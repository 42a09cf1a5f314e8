package loomreel.faktory.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Weighted round robin and the concurrency limiter together: which queue starts an attempt next.
 */
class QueueSelectionTest {
  private static final long MS = 1000;
  private final QueueWeights weights = new QueueWeights(Map.of("a", 3, "b", 1, "*", 2));
  private final WeightedRoundRobin turns = new WeightedRoundRobin(weights);
  private final ConcurrencyLimiter limiter = new ConcurrencyLimiter(weights);

  private Optional<String> nextQueue(List<String> ready, long now) {
    return turns.next(ready, name -> limiter.mayStart(name, now));
  }

  @Test
  void turnsFollowTheWeights() {
    limiter.setCapacity(1000);
    Map<String, Integer> turns = new HashMap<>();
    for (int i = 0; i < 600; i++) {
      String queue = nextQueue(List.of("a", "b", "other"), 0).orElseThrow();
      limiter.recordStart(queue);
      limiter.recordServed(queue);
      turns.merge(queue, 1, Integer::sum);
    }
    assertEquals(Map.of("a", 300, "b", 100, "other", 200), turns);
  }

  @Test
  void noQueueStartsMoreAttemptsThanTheCapacity() {
    limiter.setCapacity(3);
    for (int i = 0; i < 3; i++) {
      assertTrue(nextQueue(List.of("a"), 0).isPresent());
      limiter.recordStart("a");
    }
    assertEquals(Optional.empty(), nextQueue(List.of("a"), 0));
    limiter.recordServed("a");
    assertEquals(Optional.of("a"), nextQueue(List.of("a"), 0));
  }

  /** A queue counts as stuck as well when it only has many jobs. */
  @Test
  void aStuckQueueLeavesTheOthersHalfOfTheirEntitlement() {
    limiter.setCapacity(40);
    for (int i = 0; i < 2000; i++) {
      limiter.recordStart("a");
      limiter.recordServed("a");
    }
    int stuck = 0;
    while (nextQueue(List.of("a"), 0).isPresent()) {
      limiter.recordStart("a");
      stuck++;
    }
    assertTrue(stuck >= 30, "started only " + stuck + " although the other queues were idle");
    int others = 0;
    while (nextQueue(List.of("a", "b"), 0).isPresent()) {
      assertEquals(Optional.of("b"), nextQueue(List.of("b"), 0));
      limiter.recordStart("b");
      others++;
    }
    assertTrue(others >= 4, "half of the entitlement is available at once, but got " + others);
  }

  /**
   * Attempts on a saturated fleet start at growing intervals, never in a busy loop; other queues
   * continue.
   */
  @Test
  void aRejectedQueuePausesLongerEachTime() {
    limiter.setCapacity(100);
    long now = 0;
    int attempts = 0;
    while (now < 10_000 * MS) {
      if (nextQueue(List.of("a"), now).isEmpty()) {
        long resumes = limiter.resumesAt(List.of("a"), now);
        assertTrue(resumes > now);
        if (now > 0) {
          assertEquals(Optional.of("b"), nextQueue(List.of("a", "b"), now));
        }
        now = resumes;
        continue;
      }
      attempts++;
      limiter.recordStart("a");
      limiter.recordRejected("a", now);
    }
    assertTrue(attempts >= 5 && attempts <= 12, attempts + " attempts in 10 s");
    assertEquals(1, (int) limiter.window("a"));
    for (int i = 0; i < 2000; i++) {
      limiter.recordStart("a");
      limiter.recordServed("a");
    }
    assertTrue(limiter.window("a") > 50, "window " + limiter.window("a"));
  }

  /** Attempts that are rejected together are one congestion event. */
  @Test
  void rejectionsAtOneTimeShrinkTheWindowOnce() {
    limiter.setCapacity(100);
    double before = limiter.window("a");
    for (int i = 0; i < 10; i++) {
      limiter.recordStart("a");
      limiter.recordRejected("a", 1000 * MS);
    }
    assertEquals(before * 0.7, limiter.window("a"), 1e-9);
  }
}
