package loomreel.faktory.storage;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import loomreel.faktory.queue.Job;

/**
 * Which segment of the log holds the full record of which job that is still wanted. Owned by {@link
 * DurableJobStore}.
 */
final class RecordIndex {
  private final TreeMap<Integer, LinkedHashSet<Job>> jobsBySegment = new TreeMap<>();
  private long liveBytes;

  /** Adds a job whose full record stands in a segment. */
  void add(Job job, int segment, int recordBytes) {
    job.logSegment = segment;
    job.logRecordBytes = recordBytes;
    jobsBySegment.computeIfAbsent(segment, number -> new LinkedHashSet<>()).add(job);
    liveBytes += recordBytes;
  }

  /** Removes a job whose full record is wanted no longer. */
  void remove(Job job) {
    LinkedHashSet<Job> jobs = jobsBySegment.get(job.logSegment);
    if (jobs != null && jobs.remove(job)) {
      liveBytes -= job.logRecordBytes;
    }
    job.logSegment = -1;
  }

  /** Whether the full record of a job stands in the log and is wanted. */
  static boolean contains(Job job) {
    return job.logSegment >= 0;
  }

  /** The first jobs whose records stand in a segment, up to a number of them; a copy. */
  List<Job> firstOf(int segment, int limit) {
    LinkedHashSet<Job> jobs = jobsBySegment.get(segment);
    return jobs == null ? List.of() : jobs.stream().limit(limit).toList();
  }

  /** Whether no wanted record stands in a segment. */
  boolean isEmpty(int segment) {
    LinkedHashSet<Job> jobs = jobsBySegment.get(segment);
    return jobs == null || jobs.isEmpty();
  }

  /** The oldest segment in which a wanted record stands. */
  OptionalInt oldestSegment() {
    return jobsBySegment.entrySet().stream()
        .filter(entry -> !entry.getValue().isEmpty())
        .mapToInt(Map.Entry::getKey)
        .findFirst();
  }

  /** Forgets a segment that is removed from the log. */
  void removeSegment(int segment) {
    jobsBySegment.remove(segment);
  }

  /** Bytes of all wanted records. */
  long liveBytes() {
    return liveBytes;
  }
}
