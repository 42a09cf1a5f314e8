package loomreel.faktory.storage;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import loomreel.faktory.queue.Job;

/**
 * Which segment of the log holds the needed record of which job: the full record, or of a job that
 * has ended for good the record of its end. Owned by {@link DurableJobStore}.
 */
final class RecordIndex {
  private final TreeMap<Integer, SegmentRecords> segments = new TreeMap<>();
  private long neededBytes;

  /** Adds a job whose full record stands in a segment. Its earlier record is needed no more. */
  void addLive(Job job, int segment, int recordBytes) {
    replaceRecord(job, segment, recordBytes).addLive(job);
  }

  /**
   * Adds a job the record of whose end stands in a segment. Its earlier record is needed no more.
   */
  void addEnded(Job job, int segment, int recordBytes) {
    replaceRecord(job, segment, recordBytes).addEnded(job);
  }

  private SegmentRecords replaceRecord(Job job, int segment, int recordBytes) {
    remove(job);
    job.setLogRecord(segment, recordBytes);
    neededBytes += recordBytes;
    return segments.computeIfAbsent(segment, SegmentRecords::new);
  }

  /** Removes a job whose record is not needed any more, if there is such a record. */
  void remove(Job job) {
    if (job.hasLogRecord()) {
      SegmentRecords records = segments.get(job.logSegment());
      neededBytes -= job.logRecordBytes();
      job.clearLogRecord();
      records.remove(job);
    }
  }

  /** The first jobs whose records stand in a segment, up to a number of them; a copy. */
  List<Job> firstOf(int segment, int limit) {
    SegmentRecords records = segments.get(segment);
    return records == null ? List.of() : records.first(limit);
  }

  /** Whether no needed record stands in a segment. */
  boolean isEmpty(int segment) {
    SegmentRecords records = segments.get(segment);
    return records == null || records.isEmpty();
  }

  /** Whether a needed full record stands in a segment. */
  boolean hasLiveJobs(int segment) {
    SegmentRecords records = segments.get(segment);
    return records != null && records.hasLiveJobs();
  }

  /** The oldest segment in which a needed record stands. */
  OptionalInt oldestSegment() {
    return segments.entrySet().stream()
        .filter(entry -> !entry.getValue().isEmpty())
        .mapToInt(Map.Entry::getKey)
        .findFirst();
  }

  /** Removes a segment that is removed from the log; no needed record stands there. */
  void removeSegment(int segment) {
    segments.remove(segment);
  }

  /** Bytes of all needed records. */
  long neededBytes() {
    return neededBytes;
  }
}
