package loomreel.faktory.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which queue's job is tried next, and whether one may be. */
class AdmissionTest {
  private static final long MS = 1000;
  private final Admission admission = new Admission(Map.of("a", 3, "b", 1), 2);

  @Test
  void queuesShareByWeight() {
    admission.setCapacity(1000);
    Map<String, Integer> turns = new HashMap<>();
    for (int i = 0; i < 600; i++) {
      String queue = admission.nextQueue(List.of("a", "b", "other"), 0);
      admission.recordStart(queue);
      admission.recordServed(queue);
      turns.merge(queue, 1, Integer::sum);
    }
    assertEquals(Map.of("a", 300, "b", 100, "other", 200), turns);
  }

  @Test
  void noQueueOpensMoreThanTheCapacity() {
    admission.setCapacity(3);
    for (int i = 0; i < 3; i++) {
      assertNotNull(admission.nextQueue(List.of("a"), 0));
      admission.recordStart("a");
    }
    assertNull(admission.nextQueue(List.of("a"), 0));
    admission.recordServed("a");
    assertEquals("a", admission.nextQueue(List.of("a"), 0));
  }

  /** Also holds for a queue whose jobs are just many. */
  @Test
  void aStuckQueueLeavesTheOthersHalfOfTheirShare() {
    admission.setCapacity(40);
    for (int i = 0; i < 2000; i++) {
      admission.recordStart("a");
      admission.recordServed("a");
    }
    int stuck = 0;
    while (admission.nextQueue(List.of("a"), 0) != null) {
      admission.recordStart("a");
      stuck++;
    }
    assertTrue(stuck >= 30, "what others do not use is not left lying, but " + stuck);
    int others = 0;
    while (admission.nextQueue(List.of("a", "b"), 0) != null) {
      assertEquals("b", admission.nextQueue(List.of("b"), 0));
      admission.recordStart("b");
      others++;
    }
    assertTrue(others >= 4, "half of its part is there at once, but " + others);
  }

  /** A full fleet is tried ever more seldom, never in a busy loop; the other queues go on. */
  @Test
  void aRejectedQueuePausesLongerEachTime() {
    admission.setCapacity(100);
    long now = 0;
    int asked = 0;
    while (now < 10_000 * MS) {
      if (admission.nextQueue(List.of("a"), now) == null) {
        long resumes = admission.resumesAt(List.of("a"), now);
        assertTrue(resumes > now);
        if (now > 0) {
          assertEquals("b", admission.nextQueue(List.of("a", "b"), now));
        }
        now = resumes;
        continue;
      }
      asked++;
      admission.recordStart("a");
      admission.recordRejected("a", now);
    }
    assertTrue(asked >= 5 && asked <= 12, "asked " + asked + " times in 10 s");
    assertEquals(1, (int) admission.window("a"));
    for (int i = 0; i < 2000; i++) {
      admission.recordStart("a");
      admission.recordServed("a");
    }
    assertTrue(admission.window("a") > 50, "window " + admission.window("a"));
  }

  /** Tries that are rejected together are one congestion event. */
  @Test
  void rejectionsAtOneTimeShrinkTheWindowOnce() {
    admission.setCapacity(100);
    double before = admission.window("a");
    for (int i = 0; i < 10; i++) {
      admission.recordStart("a");
      admission.recordRejected("a", 1000 * MS);
    }
    assertEquals(before * 0.7, admission.window("a"), 1e-9);
  }
}
