package loomreel.faktory.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Stream;
import loomreel.faktory.payload.JobPayloadReader;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.JobQueue;
import loomreel.faktory.queue.JobSpec;
import loomreel.faktory.queue.QueueLimits;
import loomreel.settings.FaktorySettings;
import loomreel.wal.WriteAheadLog;

/** A queue whose jobs are stored, over restarts and kills of its process. */
final class StoredQueue {
  static final long SECOND = 1_000_000;
  static final int IDEMPOTENT = 0;
  static final int NOT_IDEMPOTENT = 1;
  private static final int MAX_LOG_BYTES = 1 << 30;
  private static final int DEFAULT_RETRIES = 25;

  static final DurableJobStore.RequestClasses CLASSES =
      new DurableJobStore.RequestClasses() {
        @Override
        public boolean isIdempotent(int requestClass) {
          return requestClass == IDEMPOTENT;
        }

        @Override
        public boolean isSynced(int requestClass) {
          return requestClass != IDEMPOTENT;
        }
      };

  /** The settings under which payloads are read at the next push or start. */
  JobPayloadReader payloads = payloads(Map.of("free", "copy", "single", "issue"));

  /** The tasks that the log passes to the event loop. */
  final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();

  /** The time of the next operation, in microseconds of Unix time. */
  long now = SECOND;

  private final int segmentBytes;
  private Path directory;
  private JobQueue queue;
  private DurableJobStore store;

  /** Opens the store in a directory. */
  StoredQueue(Path directory, int segmentBytes) throws IOException {
    this.directory = directory;
    this.segmentBytes = segmentBytes;
    open();
  }

  JobQueue queue() {
    return queue;
  }

  DurableJobStore store() {
    return store;
  }

  Path directory() {
    return directory;
  }

  /** A reader under settings with these queues, each with its class. */
  static JobPayloadReader payloads(Map<String, String> classes) {
    Map<String, FaktorySettings.Queue> queues = new HashMap<>();
    classes.forEach((queue, name) -> queues.put(queue, new FaktorySettings.Queue(name, 1, null)));
    return new JobPayloadReader(
        new FaktorySettings(
            null, null, 1, null, queues, Map.of(), 0.5, null, 1, null, 25, null, null, 0, false, "",
            null, Map.of()),
        Map.of("copy", IDEMPOTENT, "issue", NOT_IDEMPOTENT),
        Map.of());
  }

  /** Removes all segments that can be removed, waiting for the disk as often as needed. */
  void compactAll(DurableJobStore of) throws InterruptedException {
    while (of.compact() || of.isRemovingSegments()) {
      if (of.isRemovingSegments()) {
        loop.take().run();
      }
    }
  }

  /** Restores the queue from the directory as it is. */
  void open() throws IOException {
    queue =
        new JobQueue(
            new QueueLimits(1000, 1 << 20, SECOND, 600 * SECOND, 1000), new SplittableRandom(1));
    store =
        new DurableJobStore(
            new WriteAheadLog(directory, segmentBytes, loop::add),
            CLASSES,
            segmentBytes,
            MAX_LOG_BYTES);
    queue.setListener(store);
    store.restore(queue, payloads, StoredQueue::failOnUnusableJob, now);
  }

  /** Restores from the files of a process that was killed at this point. */
  void killAndOpen() throws IOException {
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

  /** Pushes a job that is due at a time; 0 for at once. */
  Job push(String jid, String queueName, long at) throws Exception {
    return pushTo(queue, jid, queueName, at);
  }

  /** Pushes a job to another queue with the same settings. */
  Job pushTo(JobQueue target, String jid, String queueName, long at) throws Exception {
    return pushTo(target, jid, queueName, at, DEFAULT_RETRIES);
  }

  private Job pushTo(JobQueue target, String jid, String queueName, long at, int retries)
      throws Exception {
    String retryField = retries == DEFAULT_RETRIES ? "" : ",\"retry\":" + retries;
    String text =
        "{\"jid\":\""
            + jid
            + "\",\"jobtype\":\"T\",\"queue\":\""
            + queueName
            + "\",\"args\":[1]"
            + retryField
            + "}";
    JobSpec known = payloads.read(Json.read(text));
    JobSpec spec =
        new JobSpec(
            jid,
            queueName,
            "T",
            known.requestClass(),
            -1,
            null,
            1,
            Double.NaN,
            5,
            retries,
            at,
            Long.MAX_VALUE);
    assertEquals(Optional.empty(), target.push(spec, text.getBytes(StandardCharsets.UTF_8), now));
    return target.find(jid);
  }

  /** Pushes a job that is active at once. */
  Job pushAndStart(String jid, String queueName) throws Exception {
    return pushAndStart(jid, queueName, DEFAULT_RETRIES);
  }

  /** Pushes a job that is active at once and may be retried a number of times. */
  Job pushAndStart(String jid, String queueName, int retries) throws Exception {
    pushTo(queue, jid, queueName, 0, retries);
    return queue.startNext(queueName, now);
  }

  private static void failOnUnusableJob(String jid, String reason) {
    throw new AssertionError("job " + jid + " is not usable: " + reason);
  }
}
