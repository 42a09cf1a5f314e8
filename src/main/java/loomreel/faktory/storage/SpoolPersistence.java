package loomreel.faktory.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import loomreel.faktory.payload.JobPayloadReader;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.JobQueue;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;
import loomreel.settings.FaktorySettings;
import loomreel.wal.WriteAheadLog;

/** Jobs in the spool directory. Owns the {@link DurableJobStore} and its write-ahead log. */
public final class SpoolPersistence implements JobPersistence {
  /** The size of a segment of the write-ahead log, in bytes. */
  private static final long SEGMENT_BYTES = 16 << 20;

  /** How often changes are synced that need not be durable at once, in microseconds. */
  private static final long SYNC_INTERVAL_MICROS = 100_000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EventLoop loop;
  private final DurableJobStore store;

  private SpoolPersistence(EventLoop loop, DurableJobStore store) {
    this.loop = loop;
    this.store = store;
  }

  /**
   * Opens the spool, restores the jobs of earlier processes into the queue, and records the queue's
   * changes from then on.
   *
   * @throws IOException if the spool cannot be read
   */
  public static SpoolPersistence open(
      EventLoop loop,
      FaktorySettings settings,
      DurableJobStore.RequestClasses classes,
      JobQueue queue,
      JobPayloadReader payloads,
      RateLimitedLogger log)
      throws IOException {
    Path directory = Path.of(settings.spoolDirectory());
    DurableJobStore store =
        new DurableJobStore(
            new WriteAheadLog(directory, SEGMENT_BYTES, loop::execute),
            classes,
            SEGMENT_BYTES,
            settings.maxSpoolSize().bytes());
    queue.setListener(store);
    long startedNanos = System.nanoTime();
    int jobs =
        store.restore(
            queue,
            payloads,
            (jid, why) -> log.warn("job not restored jid=" + jid + " reason=" + why),
            loop.now());
    log.info(
        "spool restored jobs="
            + jobs
            + " duration_ms="
            + (System.nanoTime() - startedNanos) / NANOS_PER_MILLI
            + " truncated_bytes="
            + store.truncatedBytes()
            + " directory="
            + directory.toAbsolutePath());
    SpoolPersistence persistence = new SpoolPersistence(loop, store);
    persistence.scheduleSync();
    return persistence;
  }

  private void scheduleSync() {
    loop.schedule(
        loop.now() + SYNC_INTERVAL_MICROS,
        () -> {
          store.sync();
          scheduleSync();
        });
  }

  @Override
  public boolean outlivesProcess() {
    return true;
  }

  @Override
  public Optional<String> rejectionReason() {
    return store.rejectionReason();
  }

  @Override
  public boolean isSynced(int requestClass) {
    return store.isSynced(requestClass);
  }

  @Override
  public void whenDurable(boolean isSynced, Runnable then) {
    store.whenDurable(isSynced, then);
  }

  @Override
  public boolean recordAttempt(Job job) {
    return store.recordHandedOut(job);
  }

  @Override
  public void write() {
    store.write();
  }

  @Override
  public boolean reclaimSpace() {
    return store.compact();
  }

  @Override
  public void close() throws IOException {
    store.close();
  }
}
