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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.Job.State;
import loomreel.faktory.queue.JobQueue;
import loomreel.faktory.queue.PushRejection;
import loomreel.faktory.queue.QueueLimits;
import loomreel.wal.WriteAheadLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A restored queue equals the stored one, except for jobs that were active. */
@Timeout(20)
class DurableJobStoreTest {
  private static final int SEGMENT_BYTES = 1 << 20;
  private final List<String> unusable = new ArrayList<>();
  @TempDir private Path temporaryDirectory;
  private StoredQueue stored;

  @BeforeEach
  void open() throws IOException {
    stored = new StoredQueue(temporaryDirectory, SEGMENT_BYTES);
  }

  @Test
  void waitingJobsAreRestoredInOrderOfArrival() throws Exception {
    stored.push("b", "free", 0);
    stored.push("a", "free", 0);
    stored.push("later", "free", 90 * StoredQueue.SECOND);
    stored.killAndOpen();
    stored.killAndOpen();
    assertEquals(State.SCHEDULED, stored.queue().find("later").state());
    assertEquals(90 * StoredQueue.SECOND, stored.queue().find("later").dueMicros());
    stored.push("new", "free", 0);
    stored.killAndOpen();
    assertEquals("b", stored.queue().startNext("free", stored.now).spec.jid());
    assertEquals("a", stored.queue().startNext("free", stored.now).spec.jid());
    assertEquals("new", stored.queue().startNext("free", stored.now).spec.jid());
  }

  /** A job that may have run and must not run twice is never handed out again. */
  @Test
  void interruptedJobsAreEnqueuedUnlessTheyMayHaveRunAndMustNotRepeat() throws Exception {
    Job idempotent = stored.pushAndStart("free-out", "free");
    assertTrue(stored.store().recordHandedOut(idempotent));
    Job out = stored.pushAndStart("single-out", "single");
    assertTrue(stored.store().recordHandedOut(out));
    stored.pushAndStart("single-not-out", "single");
    Job again = stored.pushAndStart("single-again", "single");
    assertTrue(stored.store().recordHandedOut(again));
    stored.queue().failAttempt(again, false, false, stored.now);
    stored.now = again.dueMicros();
    stored.queue().processDue(stored.now);
    stored.queue().startNext("single", stored.now);
    stored.killAndOpen();
    assertEquals(State.ENQUEUED, stored.queue().find("free-out").state());
    assertEquals(State.DEAD, stored.queue().find("single-out").state());
    assertTrue(stored.queue().find("single-out").reason().startsWith("may have run"));
    assertFalse(
        stored
            .queue()
            .administration()
            .requeue(stored.queue().find("single-out"), false, stored.now));
    assertEquals(State.ENQUEUED, stored.queue().find("single-not-out").state());
    assertEquals(
        State.ENQUEUED,
        stored.queue().find("single-again").state(),
        "its second attempt was not handed out");
    stored.killAndOpen();
    assertEquals(
        State.DEAD,
        stored.queue().find("single-out").state(),
        "it stays dead after another restart");
  }

  /** After a loss of power, the record that an active job was handed out may be missing. */
  @Test
  void activeJobsMayHaveRunAfterALossOfPower() throws Exception {
    stored.pushAndStart("active", "single");
    stored.push("waits", "single", 0);
    stored.store().write();
    try (Stream<Path> files = Files.list(stored.directory())) {
      for (Path file : files.filter(f -> f.toString().endsWith(".journal")).toList()) {
        String text = Files.readString(file, StandardCharsets.ISO_8859_1);
        Files.writeString(
            file,
            text.replaceFirst("journal 1 [^\n]*\n", "journal 1 earlier\n"),
            StandardCharsets.ISO_8859_1);
      }
    }
    stored.store().close();
    stored.open();
    assertEquals(State.DEAD, stored.queue().find("active").state());
    assertEquals(State.ENQUEUED, stored.queue().find("waits").state());
  }

  @Test
  void endedJidsAreKnownForTheRetention() throws Exception {
    stored.queue().completeAttempt(stored.pushAndStart("done", "free"), new byte[0], stored.now);
    stored.killAndOpen();
    assertEquals(State.DONE, stored.queue().find("done").state());
    assertEquals(
        Optional.of(PushRejection.JID_ENDED),
        stored.queue().push(stored.queue().find("done").spec(), new byte[1], stored.now));
    stored.now += 601 * StoredQueue.SECOND;
    stored.killAndOpen();
    assertNull(stored.queue().find("done"));
  }

  @Test
  void jobsOfAnUnknownQueueAreReportedAndStayStored() throws Exception {
    stored.push("a", "free", 0);
    assertTrue(stored.store().recordHandedOut(stored.pushAndStart("b", "single")));
    stored.store().write();
    stored.store().close();
    JobQueue next =
        new JobQueue(
            new QueueLimits(10, 1000, StoredQueue.SECOND, StoredQueue.SECOND, 10),
            new SplittableRandom(1));
    DurableJobStore reader =
        new DurableJobStore(
            new WriteAheadLog(stored.directory(), SEGMENT_BYTES, stored.loop::add),
            StoredQueue.CLASSES,
            SEGMENT_BYTES,
            1 << 20);
    assertEquals(
        1,
        reader.restore(
            next,
            StoredQueue.payloads(Map.of("single", "issue")),
            (jid, why) -> unusable.add(jid + ": " + why),
            stored.now));
    assertEquals(List.of("a: no queue is called free"), unusable);
    stored.compactAll(reader);
    reader.close();
    stored.open();
    assertEquals(State.ENQUEUED, stored.queue().find("a").state());
    assertEquals(State.DEAD, stored.queue().find("b").state());
  }

  @Test
  void aFullLogIsReported() throws Exception {
    DurableJobStore small =
        new DurableJobStore(
            new WriteAheadLog(stored.directory().resolve("small"), 100, stored.loop::add),
            StoredQueue.CLASSES,
            100,
            300);
    JobQueue queue =
        new JobQueue(
            new QueueLimits(1000, 1 << 20, StoredQueue.SECOND, StoredQueue.SECOND, 10),
            new SplittableRandom(1));
    queue.setListener(small);
    small.restore(queue, stored.payloads, (jid, why) -> {}, stored.now);
    assertEquals(Optional.empty(), small.rejectionReason());
    stored.pushTo(queue, "a", "free", 0);
    stored.pushTo(queue, "b", "free", 0);
    stored.pushTo(queue, "c", "free", 0);
    assertEquals(Optional.of("the spool is full: 300 bytes"), small.rejectionReason());
    small.close();
  }

  /** Guards against a second run of a job whose class must not run twice any more. */
  @Test
  void aJobThatMayHaveRunIsDeadWhereItsClassMustNotRunTwiceNow() throws Exception {
    Job ran = stored.pushAndStart("ran", "free");
    stored.queue().failAttempt(ran, true, true, stored.now);
    stored.push("waits", "free", 0);
    stored.payloads = StoredQueue.payloads(Map.of("free", "issue", "single", "issue"));
    stored.killAndOpen();
    assertEquals(State.DEAD, stored.queue().find("ran").state());
    assertEquals("may have run", stored.queue().find("ran").reason());
    assertEquals(State.ENQUEUED, stored.queue().find("waits").state());
  }
}
