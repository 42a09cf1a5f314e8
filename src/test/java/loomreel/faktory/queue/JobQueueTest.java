package loomreel.faktory.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;
import loomreel.faktory.queue.Job.State;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** One final state for each jid, whatever happens in whatever order. */
class JobQueueTest {
  private static final long SECOND = 1_000_000;
  private final JobQueue queue =
      new JobQueue(
          new QueueLimits(100, 10_000, 15 * SECOND, 600 * SECOND, 50), new SplittableRandom(1));

  private static JobSpec spec(
      String jid, String queue, int priority, int retry, long at, long deadline) {
    return new JobSpec(jid, queue, "T", 0, -1, null, 1, Double.NaN, priority, retry, at, deadline);
  }

  private Job pushAndStart(String jid, int retry, long now) {
    assertEquals(
        Optional.empty(),
        queue.push(spec(jid, "q", 5, retry, 0, Long.MAX_VALUE), new byte[10], now));
    return queue.startNext("q", now);
  }

  private List<String> serveAllReady(long now) {
    List<String> jids = new ArrayList<>();
    queue.processDue(now);
    while (queue.hasReady()) {
      Job job = queue.startNext(queue.readyQueues().iterator().next(), now);
      jids.add(job.spec.jid());
      queue.completeAttempt(job, new byte[0], now);
    }
    return jids;
  }

  /** By due time, then by arrival, whenever the queue is processed. */
  @Test
  void scheduledJobsAreEnqueuedWhenDue() {
    queue.push(spec("c", "q", 5, 0, 30, Long.MAX_VALUE), new byte[1], 5);
    queue.push(spec("a", "q", 5, 0, 10, Long.MAX_VALUE), new byte[1], 5);
    queue.push(spec("b1", "q", 5, 0, 20, Long.MAX_VALUE), new byte[1], 5);
    queue.push(spec("b2", "q", 5, 0, 20, Long.MAX_VALUE), new byte[1], 5);
    assertEquals(10, queue.nextDueMicros());
    assertEquals(List.of(), serveAllReady(9));
    assertEquals(List.of("a"), serveAllReady(10));
    // Processed late: jobs that became due meanwhile start by arrival, as their priority is equal.
    assertEquals(List.of("c", "b1", "b2"), serveAllReady(10_000));
    assertEquals(Long.MAX_VALUE, queue.nextDueMicros());
  }

  @Test
  void higherPrioritiesStartFirst() {
    queue.push(spec("low", "q", 1, 0, 0, Long.MAX_VALUE), new byte[1], 5);
    queue.push(spec("high", "q", 9, 0, 0, Long.MAX_VALUE), new byte[1], 5);
    assertEquals(List.of("high", "low"), serveAllReady(6));
  }

  @Test
  void jobsThatMayHaveRunAndMustNotRepeatStayDead() {
    Job job = pushAndStart("issue-1", 25, 0);
    queue.failAttempt(job, true, false, 1);
    assertEquals(State.DEAD, job.state);
    assertEquals("may have run", job.reason);
    assertFalse(queue.administration().requeue(job, false, 2));
    queue.addEvidence(job, "ACK came late");
    assertEquals(State.DEAD, job.state);
    assertEquals("ACK came late", job.evidence);
    assertThrows(IllegalStateException.class, () -> queue.completeAttempt(job, new byte[0], 3));
    assertThrows(IllegalStateException.class, () -> queue.rejectAttempt(job, "no room", 3));
    assertEquals(
        Optional.of(PushRejection.JID_ENDED),
        queue.push(spec("issue-1", "q", 5, 25, 0, Long.MAX_VALUE), new byte[1], 3));
    assertEquals(List.of(), serveAllReady(1_000_000 * SECOND));
  }

  @Test
  void retryDelaysGrowUntilRetriesAreUsedUp() {
    Job job = pushAndStart("a", 3, 0);
    long now = 0;
    List<Long> waits = new ArrayList<>();
    while (true) {
      queue.failAttempt(job, true, true, now);
      if (job.state != State.RETRY) {
        break;
      }
      waits.add((job.dueMicros - now) / SECOND);
      now = job.dueMicros;
      queue.processDue(now);
      assertEquals(job, queue.startNext("q", now));
    }
    assertEquals(State.DEAD, job.state);
    assertEquals(3, waits.size());
    for (int i = 0; i < 3; i++) {
      double least = Math.pow(i, 4) + 15;
      assertTrue(
          waits.get(i) >= least - 1 && waits.get(i) <= least + 30 * (i + 1), waits.toString());
    }
    assertTrue(queue.administration().requeue(job, true, now));
    assertEquals(State.ENQUEUED, job.state);
  }

  /** A job expires at once, not when its next attempt would have been due. */
  @Test
  void aDeadlineBeforeTheNextAttemptExpiresAJob() {
    assertEquals(
        Optional.empty(), queue.push(spec("a", "q", 5, 25, 0, 10 * SECOND), new byte[1], 0));
    Job job = queue.startNext("q", 1);
    queue.failAttempt(job, false, true, 2);
    assertEquals(State.EXPIRED, job.state);
    assertEquals(
        Optional.empty(),
        queue.push(spec("b", "q", 5, 25, 5 * SECOND, 6 * SECOND), new byte[1], 3));
    assertEquals(
        Optional.empty(), queue.push(spec("c", "q", 5, 25, 0, 6 * SECOND), new byte[1], 3));
    queue.processDue(6 * SECOND);
    assertEquals(State.EXPIRED, queue.find("b").state);
    assertEquals(State.EXPIRED, queue.find("c").state);
    assertEquals(
        Optional.of(PushRejection.DEADLINE_PASSED),
        queue.push(spec("d", "q", 5, 25, 0, 6 * SECOND), new byte[1], 7 * SECOND));
  }

  @Test
  void theBacklogIsBoundedInJobsAndBytes() {
    for (int i = 0; i < 100; i++) {
      assertEquals(
          Optional.empty(),
          queue.push(spec("j" + i, "q", 5, 0, 0, Long.MAX_VALUE), new byte[10], 0));
    }
    assertEquals(
        Optional.of(PushRejection.TOO_MANY_JOBS),
        queue.push(spec("more", "q", 5, 0, 0, Long.MAX_VALUE), new byte[1], 0));
    queue.administration().flush(1);
    assertEquals(0, queue.liveBytes());
    assertEquals(100, queue.ended(State.CANCELLED));
    assertEquals(
        Optional.of(PushRejection.TOO_MANY_BYTES),
        queue.push(spec("big", "q", 5, 0, 0, Long.MAX_VALUE), new byte[10_001], 2));
    // Ended jobs are known for a limited time, and up to a limit.
    List<String> known =
        IntStream.range(0, 100).mapToObj(i -> "j" + i).filter(j -> queue.find(j) != null).toList();
    assertEquals(50, known.size());
    assertEquals(
        Optional.of(PushRejection.JID_ENDED),
        queue.push(spec(known.get(0), "q", 5, 0, 0, Long.MAX_VALUE), new byte[1], 3));
    assertEquals(
        Optional.empty(),
        queue.push(spec(known.get(0), "q", 5, 0, 0, Long.MAX_VALUE), new byte[1], 601 * SECOND));
  }

  /** Any sequence of operations: no job has two final states, none is lost, and the sums agree. */
  @Property(tries = 300, seed = "20261201")
  void everyJobHasOneFinalState(@ForAll long seed) {
    RandomOperations operations = new RandomOperations(seed);
    for (int step = 0; step < 200; step++) {
      operations.performOne();
      operations.assertOneFinalStateForEachJob();
      operations.assertSumsAgree();
    }
  }

  /** A queue under random operations, and the jobs that it must hold. */
  private static final class RandomOperations {
    private static final int PAYLOAD_BYTES = 20;
    private static final Set<PushRejection> NOT_UNIQUE =
        EnumSet.of(PushRejection.JID_IN_USE, PushRejection.JID_ENDED);
    private final SplittableRandom random;
    private final JobQueue queue;
    private final Map<String, State> finalStates = new HashMap<>();
    private final List<Job> active = new ArrayList<>();
    private final List<Job> all = new ArrayList<>();
    private long now;

    RandomOperations(long seed) {
      random = new SplittableRandom(seed);
      queue = new JobQueue(new QueueLimits(30, 600, SECOND, 1_000_000 * SECOND, 100_000), random);
    }

    void performOne() {
      now += random.nextLong(3 * SECOND);
      queue.processDue(now);
      int operation = random.nextInt(8);
      if (operation < 3) {
        push();
      } else if (operation < 5 && queue.hasReady()) {
        List<String> ready =
            StreamSupport.stream(queue.readyQueues().spliterator(), false).toList();
        active.add(queue.startNext(ready.get(random.nextInt(ready.size())), now));
      } else if (operation == 5 && random.nextInt(20) == 0) {
        queue.administration().flush(now);
      } else if (!active.isEmpty()) {
        endAttempt(active.remove(random.nextInt(active.size())));
      }
    }

    private void push() {
      String jid = "j" + random.nextInt(60);
      boolean isKnown = queue.find(jid) != null;
      JobSpec spec =
          spec(
              jid,
              "q" + random.nextInt(3),
              1 + random.nextInt(9),
              random.nextInt(4) - 1,
              random.nextBoolean() ? 0 : now + random.nextLong(9 * SECOND),
              random.nextBoolean() ? Long.MAX_VALUE : now + 1 + random.nextLong(20 * SECOND));
      Optional<PushRejection> rejection = queue.push(spec, new byte[PAYLOAD_BYTES], now);
      assertEquals(isKnown, rejection.filter(NOT_UNIQUE::contains).isPresent());
      if (rejection.isEmpty()) {
        all.add(queue.find(jid));
      }
    }

    private void endAttempt(Job job) {
      switch (random.nextInt(3)) {
        case 0 -> queue.completeAttempt(job, new byte[0], now);
        case 1 -> queue.rejectAttempt(job, "no room", now);
        default -> queue.failAttempt(job, random.nextBoolean(), random.nextBoolean(), now);
      }
    }

    void assertOneFinalStateForEachJob() {
      for (Job job : all) {
        if (job.state.isFinal()) {
          State before =
              finalStates.putIfAbsent(job.spec.jid() + "#" + job.arrivalOrder, job.state);
          assertTrue(before == null || before == job.state, "a second final state");
        }
      }
    }

    void assertSumsAgree() {
      int live = (int) all.stream().filter(job -> !job.state.isFinal()).count();
      assertEquals(live, queue.liveCount());
      assertEquals(
          live,
          queue.size(State.SCHEDULED)
              + queue.size(State.RETRY)
              + queue.size(State.ENQUEUED)
              + active.size());
      assertEquals((long) PAYLOAD_BYTES * live, queue.liveBytes());
    }
  }
}
