package loomreel.faktory.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Function;
import java.util.stream.Stream;
import loomreel.faktory.payload.PayloadValidator;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.Job.State;
import loomreel.faktory.queue.JobQueue;
import loomreel.faktory.queue.PushRejection;
import loomreel.faktory.queue.QueueLimits;
import loomreel.settings.FaktorySettings;
import loomreel.wal.WriteAheadLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A restored queue stands as it stood, except for jobs that were being tried. */
@Timeout(20)
class DurableJobStoreTest {
  private static final long SECOND = 1_000_000;
  private static final int FREE = 0;
  private static final int SINGLE = 1;
  private static final DurableJobStore.RequestClasses CLASSES =
      new DurableJobStore.RequestClasses() {
        @Override
        public boolean isIdempotent(int requestClass) {
          return requestClass == FREE;
        }

        @Override
        public boolean isSynced(int requestClass) {
          return requestClass != FREE;
        }
      };
  private final PayloadValidator payloads = payloads(Map.of("free", "copy", "single", "issue"));
  private final List<String> unusable = new ArrayList<>();
  private final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
  @TempDir private Path directory;
  private long now = SECOND;
  private JobQueue queue;
  private DurableJobStore store;
  private int segmentBytes = 1 << 20;

  /** A validator under settings with these queues, each with its class. */
  private static PayloadValidator payloads(Map<String, String> classes) {
    Map<String, FaktorySettings.Queue> queues = new HashMap<>();
    classes.forEach((queue, name) -> queues.put(queue, new FaktorySettings.Queue(name, 1, null)));
    return new PayloadValidator(
        new FaktorySettings(
            null, null, 1, null, queues, Map.of(), 0.5, null, 1, null, 25, null, null, 0, false, "",
            null, Map.of()),
        Map.of("copy", FREE, "issue", SINGLE),
        Map.of());
  }

  /** Removes all segments that can be removed, waiting for the disk as often as needed. */
  private void compactAll(DurableJobStore of) throws InterruptedException {
    while (of.compact() || of.isRemovingSegments()) {
      if (of.isRemovingSegments()) {
        loop.take().run();
      }
    }
  }

  @BeforeEach
  void open() throws IOException {
    queue =
        new JobQueue(
            new QueueLimits(1000, 1 << 20, SECOND, 600 * SECOND, 1000), new SplittableRandom(1));
    store =
        new DurableJobStore(
            new WriteAheadLog(directory, segmentBytes, loop::add), CLASSES, segmentBytes, 1 << 30);
    queue.setListener(store);
    store.restore(queue, payloads, (jid, why) -> unusable.add(jid), now);
  }

  /** Restores from what a killed process would have left: its memory is gone. */
  private void killAndOpen() throws IOException {
    store.write();
    Path copy = Files.createTempDirectory(directory.getParent(), "after");
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.copy(file, copy.resolve(file.getFileName()));
      }
    }
    store.close();
    loop.clear();
    directory = copy;
    open();
  }

  private Job push(String jid, String queueName, long at) throws Exception {
    String text =
        "{\"jid\":\"" + jid + "\",\"jobtype\":\"T\",\"queue\":\"" + queueName + "\",\"args\":[1]}";
    Job.Spec known = payloads.known(Json.read(text));
    Job.Spec spec =
        new Job.Spec(
            jid,
            queueName,
            "T",
            known.requestClass(),
            -1,
            null,
            1,
            Double.NaN,
            5,
            25,
            at,
            Long.MAX_VALUE);
    assertEquals(Optional.empty(), queue.push(spec, text.getBytes(StandardCharsets.UTF_8), now));
    return queue.find(jid);
  }

  private Job pushAndStart(String jid, String queueName) throws Exception {
    push(jid, queueName, 0);
    return queue.startNext(queueName, now);
  }

  @Test
  void waitingJobsAreRestoredInTheirOrder() throws Exception {
    push("b", "free", 0);
    push("a", "free", 0);
    push("later", "free", 90 * SECOND);
    killAndOpen();
    killAndOpen();
    assertEquals(State.SCHEDULED, queue.find("later").state());
    assertEquals(90 * SECOND, queue.find("later").dueMicros());
    push("new", "free", 0);
    killAndOpen();
    assertEquals("b", queue.startNext("free", now).spec.jid());
    assertEquals("a", queue.startNext("free", now).spec.jid());
    assertEquals("new", queue.startNext("free", now).spec.jid());
  }

  /**
   * The one distinction that matters: a job that may have run and must not run twice is never
   * handed out again.
   */
  @Test
  void interruptedJobsWaitAgainUnlessTheyMayHaveRunAndMustNotRepeat() throws Exception {
    Job free = pushAndStart("free-out", "free");
    assertTrue(store.recordHandedOut(free));
    Job out = pushAndStart("single-out", "single");
    assertTrue(store.recordHandedOut(out));
    pushAndStart("single-not-out", "single");
    Job again = pushAndStart("single-again", "single");
    assertTrue(store.recordHandedOut(again));
    queue.failAttempt(again, false, false, now);
    now = again.dueMicros();
    queue.processDue(now);
    queue.startNext("single", now);
    killAndOpen();
    assertEquals(State.ENQUEUED, queue.find("free-out").state());
    assertEquals(State.DEAD, queue.find("single-out").state());
    assertTrue(queue.find("single-out").reason().startsWith("may have run"));
    assertFalse(queue.administration().requeue(queue.find("single-out"), false, now));
    assertEquals(State.ENQUEUED, queue.find("single-not-out").state());
    assertEquals(
        State.ENQUEUED, queue.find("single-again").state(), "its second try had not gone out");
    killAndOpen();
    assertEquals(State.DEAD, queue.find("single-out").state(), "and it stays so");
  }

  /** The last records may be lost with the power: an active job may have been handed out. */
  @Test
  void afterALossOfPowerActiveJobsMayHaveRun() throws Exception {
    pushAndStart("tried", "single");
    push("waits", "single", 0);
    store.write();
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".journal")).toList()) {
        String text = Files.readString(file, StandardCharsets.ISO_8859_1);
        Files.writeString(
            file,
            text.replaceFirst("journal 1 [^\n]*\n", "journal 1 earlier\n"),
            StandardCharsets.ISO_8859_1);
      }
    }
    store.close();
    open();
    assertEquals(State.DEAD, queue.find("tried").state());
    assertEquals(State.ENQUEUED, queue.find("waits").state());
  }

  @Test
  void endedJidsAreKnownForTheRetention() throws Exception {
    queue.completeAttempt(pushAndStart("done", "free"), new byte[0], now);
    killAndOpen();
    assertEquals(State.DONE, queue.find("done").state());
    assertEquals(
        Optional.of(PushRejection.JID_ENDED),
        queue.push(queue.find("done").spec(), new byte[1], now));
    now += 601 * SECOND;
    killAndOpen();
    assertNull(queue.find("done"));
  }

  @Test
  void jobsOfAMissingQueueAreReportedAndStayStored() throws Exception {
    push("a", "free", 0);
    assertTrue(store.recordHandedOut(pushAndStart("b", "single")));
    store.write();
    store.close();
    JobQueue next =
        new JobQueue(new QueueLimits(10, 1000, SECOND, SECOND, 10), new SplittableRandom(1));
    DurableJobStore reader =
        new DurableJobStore(
            new WriteAheadLog(directory, segmentBytes, loop::add), CLASSES, segmentBytes, 1 << 20);
    assertEquals(
        1,
        reader.restore(
            next,
            payloads(Map.of("single", "issue")),
            (jid, why) -> unusable.add(jid + ": " + why),
            now));
    assertEquals(List.of("a: no queue is called free"), unusable);
    compactAll(reader);
    reader.close();
    open();
    assertEquals(State.ENQUEUED, queue.find("a").state());
    assertEquals(State.DEAD, queue.find("b").state());
  }

  @Test
  void aFullLogIsReported() throws Exception {
    DurableJobStore small =
        new DurableJobStore(
            new WriteAheadLog(directory.resolve("small"), 100, loop::add), CLASSES, 100, 300);
    JobQueue of =
        new JobQueue(new QueueLimits(1000, 1 << 20, SECOND, SECOND, 10), new SplittableRandom(1));
    of.setListener(small);
    small.restore(of, payloads, (jid, why) -> {}, now);
    assertNull(small.rejectionReason());
    queue = of;
    push("a", "free", 0);
    push("b", "free", 0);
    push("c", "free", 0);
    assertEquals("the spool is full: 300 bytes", small.rejectionReason());
    small.close();
  }

  /**
   * Any sequence of operations, killed anywhere, with segments so small that they are compacted all
   * the time.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void anyQueueIsRestoredAsItStood(long seed) throws Exception {
    segmentBytes = 2000;
    store.close();
    open();
    SplittableRandom random = new SplittableRandom(seed);
    List<Job> active = new ArrayList<>();
    for (int step = 0; step < 600; step++) {
      now += random.nextLong(SECOND);
      queue.processDue(now);
      performOne(random, step, active);
      compactWithoutWaiting();
      if (random.nextInt(60) == 0) {
        Map<String, String> expected = describeKeptJobs(step, DurableJobStoreTest::afterKill);
        active.clear();
        killAndOpen();
        queue.processDue(now);
        Map<String, String> found =
            describeKeptJobs(step, job -> job.state() + " " + job.failures());
        assertEquals(expected, found, "seed " + seed + ", step " + step);
      }
    }
    assertDiskUseIsBounded();
  }

  private void performOne(SplittableRandom random, int step, List<Job> active) throws Exception {
    int operation = random.nextInt(10);
    if (operation < 4) {
      push(
          "j" + step,
          random.nextBoolean() ? "free" : "single",
          random.nextInt(4) == 0 ? now + 5 * SECOND : 0);
    } else if (operation < 6 && queue.hasReady()) {
      Job job = queue.startNext(queue.readyQueues().iterator().next(), now);
      active.add(job);
      if (random.nextBoolean()) {
        store.recordHandedOut(job);
      }
    } else if (!active.isEmpty()) {
      Job job = active.remove(random.nextInt(active.size()));
      switch (random.nextInt(4)) {
        case 0 -> queue.rejectAttempt(job, "no room", now);
        case 1 -> queue.failAttempt(job, job.isHandedOut(), job.spec().requestClass() == FREE, now);
        case 2 -> queue.withdrawAttempt(job, now);
        default -> queue.completeAttempt(job, new byte[0], now);
      }
    }
  }

  private void compactWithoutWaiting() {
    for (int i = 0; i < 20 && store.compact(); i++) {}
    for (Runnable synced = loop.poll(); synced != null; synced = loop.poll()) {
      synced.run();
    }
  }

  /** The jobs j0 to jN that are kept with their payloads, by jid. */
  private Map<String, String> describeKeptJobs(int last, Function<Job, String> describe) {
    Map<String, String> described = new TreeMap<>();
    for (int i = 0; i <= last; i++) {
      Job job = queue.find("j" + i);
      if (job != null && (!job.state().isFinal() || job.state() == State.DEAD)) {
        described.put(job.spec().jid(), describe.apply(job));
      }
    }
    return described;
  }

  private static String afterKill(Job job) {
    boolean isDead =
        job.state() == State.ACTIVE && job.spec().requestClass() == SINGLE && job.isHandedOut();
    State state = isDead ? State.DEAD : job.state() == State.ACTIVE ? State.ENQUEUED : job.state();
    return state + " " + job.failures();
  }

  /** What was ever written is many times that: without compaction it would all still be there. */
  private void assertDiskUseIsBounded() throws Exception {
    compactAll(store);
    store.write();
    try (Stream<Path> files = Files.list(directory)) {
      long bytes = files.mapToLong(f -> f.toFile().length()).sum();
      int jobs = queue.liveCount() + queue.size(State.DEAD);
      assertTrue(
          bytes <= 2L * 300 * jobs + 6L * segmentBytes, bytes + " bytes for " + jobs + " jobs");
    }
  }
}
