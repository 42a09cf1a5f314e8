package loomreel.faktory.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import loomreel.faktory.queue.Job;

/** The jobs whose needed records stand in one segment of the log, in the order of the records. */
final class SegmentRecords {
  /** Entries of {@link #ended} for each one that is needed, above which the others are removed. */
  private static final int MAX_ENTRIES_PER_NEEDED_ENTRY = 2;

  private final int segment;

  /** Jobs whose full record stands in the segment. */
  private final LinkedHashSet<Job> live = new LinkedHashSet<>();

  /**
   * Jobs the record of whose end stands in the segment, and jobs of which that record is no longer
   * needed; see {@link #isNeeded}.
   */
  private final ArrayDeque<Job> ended = new ArrayDeque<>();

  /** How many of {@link #ended} are needed. */
  private int endedCount;

  SegmentRecords(int segment) {
    this.segment = segment;
  }

  /** Adds a job whose full record stands in the segment. */
  void addLive(Job job) {
    live.add(job);
  }

  /** Adds a job the record of whose end stands in the segment. */
  void addEnded(Job job) {
    ended.add(job);
    endedCount++;
  }

  /** Removes a job that is here and whose log record has just been cleared. */
  void remove(Job job) {
    if (live.remove(job)) {
      return;
    }
    endedCount--;
    while (!ended.isEmpty() && !isNeeded(ended.peek())) {
      ended.poll();
    }
    if (ended.size() > MAX_ENTRIES_PER_NEEDED_ENTRY * endedCount) {
      ended.removeIf(entry -> !isNeeded(entry));
    }
  }

  /** Whether a job of {@link #ended} has not been removed since it was added. */
  private boolean isNeeded(Job job) {
    return job.logSegment() == segment;
  }

  /** The first jobs, up to a number of them; a copy. */
  List<Job> first(int limit) {
    List<Job> first = new ArrayList<>(live.stream().limit(limit).toList());
    ended.stream().filter(this::isNeeded).limit(limit - first.size()).forEach(first::add);
    return first;
  }

  /** Whether there is no job. */
  boolean isEmpty() {
    return live.isEmpty() && endedCount == 0;
  }

  /** Whether a needed full record stands in the segment. */
  boolean hasLiveJobs() {
    return !live.isEmpty();
  }
}
