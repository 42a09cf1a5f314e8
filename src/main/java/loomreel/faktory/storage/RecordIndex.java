package loomreel.faktory.storage;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import loomreel.faktory.queue.Job;

/**
 * Which segment of the log holds the full record of which job, for records that are still needed.
 * Owned by {@link DurableJobStore}.
 */
final class RecordIndex {
  private final TreeMap<Integer, LinkedHashSet<Job>> jobsBySegment = new TreeMap<>();
  private long liveBytes;

  /** Adds a job whose full record stands in a segment. */
  void add(Job job, int segment, int recordBytes) {
    job.setLogRecord(segment, recordBytes);
    jobsBySegment.computeIfAbsent(segment, number -> new LinkedHashSet<>()).add(job);
    liveBytes += recordBytes;
  }

  /** Removes a job whose full record is not needed any more. */
  void remove(Job job) {
    LinkedHashSet<Job> jobs = jobsBySegment.get(job.logSegment());
    if (jobs != null && jobs.remove(job)) {
      liveBytes -= job.logRecordBytes();
    }
    job.clearLogRecord();
  }

  /** The first jobs whose records stand in a segment, up to a number of them; a copy. */
  List<Job> firstOf(int segment, int limit) {
    LinkedHashSet<Job> jobs = jobsBySegment.get(segment);
    return jobs == null ? List.of() : jobs.stream().limit(limit).toList();
  }

  /** Whether no needed record stands in a segment. */
  boolean isEmpty(int segment) {
    LinkedHashSet<Job> jobs = jobsBySegment.get(segment);
    return jobs == null || jobs.isEmpty();
  }

  /** The oldest segment in which a needed record stands. */
  OptionalInt oldestSegment() {
    return jobsBySegment.entrySet().stream()
        .filter(entry -> !entry.getValue().isEmpty())
        .mapToInt(Map.Entry::getKey)
        .findFirst();
  }

  /** Removes a segment that is removed from the log. */
  void removeSegment(int segment) {
    jobsBySegment.remove(segment);
  }

  /** Bytes of all needed records. */
  long liveBytes() {
    return liveBytes;
  }
}
