package loomreel.faktory.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.Job.State;
import loomreel.faktory.queue.PushRejection;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The jids of ended jobs are known over restarts until their retention has passed. */
@Timeout(20)
class EndedJidsTest {
  /** So small that a segment holds a few jobs only. */
  private static final int SEGMENT_BYTES = 2000;

  /** The retention of ended jobs of {@link StoredQueue}. */
  private static final long RETENTION = 600 * StoredQueue.SECOND;

  /** The number of ended jids that {@link StoredQueue} retains. */
  private static final int RETAINED_JIDS = 1000;

  @TempDir private Path temporaryDirectory;
  private StoredQueue stored;

  @BeforeEach
  void open() throws IOException {
    stored = new StoredQueue(temporaryDirectory, SEGMENT_BYTES);
  }

  private void pushAndComplete(String jid) throws Exception {
    Job job = stored.pushAndStart(jid, "single");
    assertTrue(stored.store().recordHandedOut(job));
    stored.queue().completeAttempt(job, new byte[0], stored.now);
    stored.now += 1000;
  }

  private void compactAndRestart() throws Exception {
    stored.compactAll(stored.store());
    stored.killAndOpen();
  }

  private void assertJidIsRejected(String jid) {
    Job ended = stored.queue().find(jid);
    assertTrue(ended != null, "jid " + jid + " is forgotten");
    assertEquals(
        Optional.of(PushRejection.JID_ENDED),
        stored.queue().push(ended.spec(), new byte[1], stored.now));
  }

  private long spoolBytes() throws IOException {
    try (Stream<Path> files = Files.list(stored.directory())) {
      return files.mapToLong(file -> file.toFile().length()).sum();
    }
  }

  /** Guards against removing the record of an ended jid with a segment without live jobs. */
  @Test
  void anEndedJidIsKnownAfterItsSegmentIsRemoved() throws Exception {
    pushAndComplete("issue");
    for (int i = 0; i < 100; i++) {
      pushAndComplete("other" + i);
    }
    compactAndRestart();
    assertJidIsRejected("issue");
    assertEquals(State.DONE, stored.queue().find("issue").state());
  }

  /** Guards against forgetting jids because each start opens a new segment. */
  @Test
  void anEndedJidIsKnownAfterSeveralRestarts() throws Exception {
    pushAndComplete("issue");
    compactAndRestart();
    compactAndRestart();
    compactAndRestart();
    assertJidIsRejected("issue");
  }

  /** Guards against forgetting the jid of a dead job because its payload is dropped. */
  @Test
  void theJidOfADiscardedDeadJobIsKnownAfterRestarts() throws Exception {
    Job job = stored.pushAndStart("issue", "single");
    stored.queue().failAttempt(job, true, false, stored.now);
    stored.queue().administration().discard(job, stored.now);
    compactAndRestart();
    assertJidIsRejected("issue");
    compactAndRestart();
    assertJidIsRejected("issue");
    assertEquals(State.DEAD, stored.queue().find("issue").state());
    assertTrue(stored.queue().find("issue").mayHaveRun());
    assertNull(stored.queue().find("issue").payload());
  }

  /** Guards against forgetting a jid whose job died without being retained as dead. */
  @Test
  void theJidOfADeadJobWithoutRetriesIsKnownAfterRestarts() throws Exception {
    Job job = stored.pushAndStart("issue", "single", 0);
    stored.queue().failAttempt(job, false, false, stored.now);
    assertEquals(State.DEAD, job.state());
    compactAndRestart();
    compactAndRestart();
    assertJidIsRejected("issue");
  }

  /** Guards against a log that retains the records of all jobs that have ever ended. */
  @Test
  void theLogRetainsOnlyTheEndedJidsWithinTheRetention() throws Exception {
    for (int i = 0; i < 3 * RETAINED_JIDS; i++) {
      pushAndComplete("job" + i);
      stored.compactAll(stored.store());
    }
    compactAndRestart();
    assertNull(stored.queue().find("job" + (2 * RETAINED_JIDS - 1)));
    assertJidIsRejected("job" + 2 * RETAINED_JIDS);
    // The design allows twice the needed records and four segments, beside the current one.
    long allowedBytes = 2L * RETAINED_JIDS * 100 + 5 * SEGMENT_BYTES;
    assertTrue(spoolBytes() <= allowedBytes, spoolBytes() + " bytes, allowed: " + allowedBytes);

    stored.now += RETENTION;
    compactAndRestart();
    pushAndComplete("last");
    stored.compactAll(stored.store());
    assertNull(stored.queue().find("job" + (3 * RETAINED_JIDS - 1)));
    assertTrue(spoolBytes() <= 2 * SEGMENT_BYTES, spoolBytes() + " bytes");
  }

  /** Guards against running a job again because the record of its end is removed too early. */
  @Test
  void anEndedJobIsNotRestoredAfterItsRetention() throws Exception {
    stored.push("scheduled", "free", stored.now + 2 * RETENTION);
    pushAndComplete("issue");
    stored.now += RETENTION;
    for (int i = 0; i < 100; i++) {
      pushAndComplete("other" + i);
    }
    compactAndRestart();
    assertNull(stored.queue().find("issue"));
    assertEquals(State.SCHEDULED, stored.queue().find("scheduled").state());
  }
}
