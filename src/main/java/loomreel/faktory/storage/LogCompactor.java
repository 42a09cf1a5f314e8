package loomreel.faktory.storage;

import java.util.function.Consumer;
import loomreel.faktory.queue.Job;
import loomreel.wal.WriteAheadLog;

/**
 * Removes old segments of the log, a little at a time: those in which no needed record stands, and
 * where the log is much larger than its needed records, the oldest one after its needed records
 * have been written again.
 */
final class LogCompactor {
  /** Bytes on disk for each needed byte, above which the oldest segment is rewritten. */
  private static final int MAX_BYTES_PER_NEEDED_BYTE = 2;

  /** Segments on disk that are allowed beyond that ratio. */
  private static final int SPARE_SEGMENTS = 4;

  /**
   * The same where the oldest segment holds ends of jobs only, which are a small part of what is
   * written for a job.
   */
  private static final int SPARE_SEGMENTS_OF_ENDED_JOBS = 1;

  /**
   * The fraction of the log's maximum size that these segments may lead to, so that they never fill
   * a log whose maximum is a few segments.
   */
  private static final double MAX_FILL_BY_SPARE_SEGMENTS = 0.5;

  /** Jobs that are rewritten in one call, so that a turn of the event loop stays short. */
  private static final int MAX_REWRITES_PER_CALL = 64;

  private final WriteAheadLog log;
  private final RecordIndex index;
  private final Consumer<Job> rewrite;
  private final long segmentBytes;
  private final long maxBytes;
  private boolean isRemoving;

  /**
   * Creates a compactor.
   *
   * @param rewrite appends the needed record of a job again and updates the index
   * @param segmentBytes size of the log's segments
   * @param maxBytes size of the log beyond which no job is accepted
   */
  LogCompactor(
      WriteAheadLog log,
      RecordIndex index,
      Consumer<Job> rewrite,
      long segmentBytes,
      long maxBytes) {
    this.log = log;
    this.index = index;
    this.rewrite = rewrite;
    this.segmentBytes = segmentBytes;
    this.maxBytes = maxBytes;
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
    if (log.bytes() <= allowedBytes(oldest)) {
      return false;
    }
    index.firstOf(oldest, MAX_REWRITES_PER_CALL).forEach(rewrite);
    return true;
  }

  /** The size of the log up to which its oldest segment stays. */
  private long allowedBytes(int oldest) {
    int spareSegments = index.hasLiveJobs(oldest) ? SPARE_SEGMENTS : SPARE_SEGMENTS_OF_ENDED_JOBS;
    long allowedByNeed = MAX_BYTES_PER_NEEDED_BYTE * index.neededBytes();
    long withSpareSegments = allowedByNeed + spareSegments * segmentBytes;
    long allowedByMaximum = (long) (MAX_FILL_BY_SPARE_SEGMENTS * maxBytes);
    return Math.max(allowedByNeed, Math.min(withSpareSegments, allowedByMaximum));
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
