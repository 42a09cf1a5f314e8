package loomreel.faktory.storage;

import java.util.function.Consumer;
import loomreel.faktory.queue.Job;
import loomreel.wal.WriteAheadLog;

/**
 * Removes old segments of the log, a little at a time: those in which no needed record stands, and
 * where the log is much larger than its needed records, the oldest one after its jobs have been
 * written again.
 */
final class LogCompactor {
  /** Bytes on disk for each needed byte, above which the oldest segment is rewritten. */
  private static final int MAX_BYTES_PER_LIVE_BYTE = 2;

  /** Segments on disk that are allowed beyond that ratio. */
  private static final int SPARE_SEGMENTS = 4;

  /** Jobs that are rewritten in one call, so that a turn of the event loop stays short. */
  private static final int MAX_REWRITES_PER_CALL = 64;

  private final WriteAheadLog log;
  private final RecordIndex index;
  private final Consumer<Job> rewrite;
  private final long segmentBytes;
  private boolean isRemoving;

  /**
   * Creates a compactor.
   *
   * @param rewrite appends the full record of a job again and puts it into the index
   */
  LogCompactor(WriteAheadLog log, RecordIndex index, Consumer<Job> rewrite, long segmentBytes) {
    this.log = log;
    this.index = index;
    this.rewrite = rewrite;
    this.segmentBytes = segmentBytes;
  }

  /**
   * Does one step.
   *
   * @return whether there is more to do at once
   */
  boolean compact() {
    int oldest = log.oldest();
    if (isRemoving || oldest == log.current()) {
      return false;
    }
    if (index.isEmpty(oldest)) {
      removeUnneededSegments();
      return false;
    }
    long allowedBytes = MAX_BYTES_PER_LIVE_BYTE * index.liveBytes() + SPARE_SEGMENTS * segmentBytes;
    if (log.bytes() <= allowedBytes) {
      return false;
    }
    for (Job job : index.firstOf(oldest, MAX_REWRITES_PER_CALL)) {
      index.remove(job);
      rewrite.accept(job);
    }
    return true;
  }

  /** Removes the oldest segments without needed records, once what was written later is synced. */
  private void removeUnneededSegments() {
    int firstNeeded = index.oldestSegment().orElse(log.current());
    isRemoving = true;
    log.whenSynced(
        () -> {
          isRemoving = false;
          while (log.oldest() < firstNeeded) {
            index.removeSegment(log.oldest());
            log.dropOldest();
          }
        });
  }

  /** Whether a removal of segments waits for the disk. */
  boolean isRemoving() {
    return isRemoving;
  }
}
