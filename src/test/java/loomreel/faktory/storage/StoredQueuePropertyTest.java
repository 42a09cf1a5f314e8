package loomreel.faktory.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Stream;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.Job.State;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random operations on a stored queue, with kills of its process between them. */
@Timeout(20)
class StoredQueuePropertyTest {
  /** So small that segments are compacted all the time. */
  private static final int SEGMENT_BYTES = 2000;

  @TempDir private Path temporaryDirectory;
  private StoredQueue stored;

  @BeforeEach
  void open() throws IOException {
    stored = new StoredQueue(temporaryDirectory, SEGMENT_BYTES);
    stored.store().close();
    stored.open();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void anyQueueIsRestoredAsItWas(long seed) throws Exception {
    SplittableRandom random = new SplittableRandom(seed);
    List<Job> active = new ArrayList<>();
    for (int step = 0; step < 600; step++) {
      stored.now += random.nextLong(StoredQueue.SECOND);
      stored.queue().processDue(stored.now);
      performOne(random, step, active);
      compactWithoutWaiting();
      if (random.nextInt(60) == 0) {
        Map<String, String> expected = describeStoredJobs(step, StoredQueuePropertyTest::afterKill);
        active.clear();
        stored.killAndOpen();
        stored.queue().processDue(stored.now);
        Map<String, String> found =
            describeStoredJobs(step, job -> job.state() + " " + job.failures());
        assertEquals(expected, found, "seed " + seed + ", step " + step);
      }
    }
    assertDiskUseIsBounded();
  }

  private void performOne(SplittableRandom random, int step, List<Job> active) throws Exception {
    int operation = random.nextInt(10);
    if (operation < 4) {
      stored.push(
          "j" + step,
          random.nextBoolean() ? "free" : "single",
          random.nextInt(4) == 0 ? stored.now + 5 * StoredQueue.SECOND : 0);
    } else if (operation < 6 && stored.queue().hasReady()) {
      Job job =
          stored.queue().startNext(stored.queue().readyQueues().iterator().next(), stored.now);
      active.add(job);
      if (random.nextBoolean()) {
        stored.store().recordHandedOut(job);
      }
    } else if (!active.isEmpty()) {
      Job job = active.remove(random.nextInt(active.size()));
      switch (random.nextInt(4)) {
        case 0 -> stored.queue().rejectAttempt(job, "no room", stored.now);
        case 1 ->
            stored
                .queue()
                .failAttempt(
                    job,
                    job.isHandedOut(),
                    job.spec().requestClass() == StoredQueue.IDEMPOTENT,
                    stored.now);
        case 2 -> stored.queue().withdrawAttempt(job, stored.now);
        default -> stored.queue().completeAttempt(job, new byte[0], stored.now);
      }
    }
  }

  private void compactWithoutWaiting() {
    for (int i = 0; i < 20 && stored.store().compact(); i++) {}
    for (Runnable synced = stored.loop.poll(); synced != null; synced = stored.loop.poll()) {
      synced.run();
    }
  }

  /** The jobs j0 to jN that are stored with their payloads, by jid. */
  private Map<String, String> describeStoredJobs(int last, Function<Job, String> describe) {
    Map<String, String> described = new TreeMap<>();
    for (int i = 0; i <= last; i++) {
      Job job = stored.queue().find("j" + i);
      if (job != null && (!job.state().isFinal() || job.state() == State.DEAD)) {
        described.put(job.spec().jid(), describe.apply(job));
      }
    }
    return described;
  }

  private static String afterKill(Job job) {
    boolean isDead =
        job.state() == State.ACTIVE
            && job.spec().requestClass() == StoredQueue.NOT_IDEMPOTENT
            && job.isHandedOut();
    State state = isDead ? State.DEAD : job.state() == State.ACTIVE ? State.ENQUEUED : job.state();
    return state + " " + job.failures();
  }

  /** All records ever written are many times larger: without compaction the bound does not hold. */
  private void assertDiskUseIsBounded() throws Exception {
    stored.compactAll(stored.store());
    stored.store().write();
    try (Stream<Path> files = Files.list(stored.directory())) {
      long bytes = files.mapToLong(f -> f.toFile().length()).sum();
      int jobs = stored.queue().liveCount() + stored.queue().size(State.DEAD);
      assertTrue(
          bytes <= 2L * 300 * jobs + 6L * SEGMENT_BYTES, bytes + " bytes for " + jobs + " jobs");
    }
  }
}
