package loomreel.faktory.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loomreel.faktory.queue.Job;
import loomreel.wal.WriteAheadLog;

/** Replays the records of earlier processes into jobs. */
final class JobReplay implements WriteAheadLog.Reader {
  /** Entries of {@link #ends} for each one that is needed, above which the oldest are removed. */
  private static final long MAX_ENTRIES_PER_NEEDED_END = 2;

  private final JobRecordCodec codec;

  /** Jobs whose full record is needed, by jid. */
  private final Map<String, StoredJob> jobs = new HashMap<>();

  /** Jobs that have ended for good, by jid; none of them is in {@link #jobs}. */
  private final Map<String, StoredEnd> ends = new HashMap<>();

  private final int maxEnds;
  private final long maxJobBytes;

  /** Size of the full records of all {@link #jobs}, in bytes. */
  private long jobBytes;

  /**
   * Creates a replay of no records.
   *
   * @param maxEnds of how many ended jobs the ends are needed, the latest ones
   * @param maxJobBytes size of the records of jobs that wait or are dead above which reading fails
   */
  JobReplay(JobRecordCodec codec, int maxEnds, long maxJobBytes) {
    this.codec = codec;
    this.maxEnds = maxEnds;
    this.maxJobBytes = maxJobBytes;
  }

  @Override
  public void record(int segment, boolean sameBoot, byte[] content) throws IOException {
    JobRecord record = codec.decode(content);
    if (record instanceof JobRecord.FullJob full) {
      ends.remove(full.jid());
      putJob(StoredJob.of(full, segment, content.length, sameBoot));
    } else if (record instanceof JobRecord.StateChange change) {
      replayStateChange(change, segment, sameBoot, content.length);
    } else if (record instanceof JobRecord.Ended end) {
      replayEnd(end, segment, content.length);
    } else if (record instanceof JobRecord.HandedOut) {
      StoredJob job = jobs.get(record.jid());
      if (job != null) {
        job.markHandedOut();
      }
    } else {
      removeJob(record.jid());
    }
  }

  private void putJob(StoredJob job) throws IOException {
    removeJob(job.jid());
    jobs.put(job.jid(), job);
    jobBytes += job.recordBytes();
    if (jobBytes > maxJobBytes) {
      throw new IOException(
          "the jobs in the spool take over "
              + maxJobBytes
              + " bytes, too much for this heap: start with a larger one (-Xmx)");
    }
  }

  private void removeJob(String jid) {
    StoredJob removed = jobs.remove(jid);
    jobBytes -= removed == null ? 0 : removed.recordBytes();
  }

  private void replayStateChange(
      JobRecord.StateChange change, int segment, boolean sameBoot, int recordBytes)
      throws IOException {
    StoredJob before = jobs.get(change.jid());
    Job.Snapshot snapshot = change.snapshot();
    if (before != null) {
      putJob(before.after(change, sameBoot));
    } else if (snapshot.state() == Job.State.DEAD) {
      // Earlier versions write this for a dead job that is not retained. Of one that is retained,
      // the full record was in a segment that has been removed, and a new full record follows.
      JobRecord.Ended end =
          new JobRecord.Ended(
              change.jid(), snapshot.state(), snapshot.mayHaveRun(), snapshot.updatedAt());
      replayEnd(end, segment, recordBytes);
    }
    // Else its full record was in a segment that has been removed: the job has ended since, or a
    // new full record follows.
  }

  private void replayEnd(JobRecord.Ended end, int segment, int recordBytes) {
    removeJob(end.jid());
    ends.put(end.jid(), new StoredEnd(end, segment, recordBytes));
    if (ends.size() > MAX_ENTRIES_PER_NEEDED_END * maxEnds) {
      removeOldestEnds();
    }
  }

  private void removeOldestEnds() {
    List<StoredEnd> inOrder = inOrderOfEnd();
    inOrder.subList(0, inOrder.size() - maxEnds).forEach(end -> ends.remove(end.record().jid()));
  }

  /** The jobs whose full record is needed, in the order of their arrival. */
  List<StoredJob> inArrivalOrder() {
    List<StoredJob> inOrder = new ArrayList<>(jobs.values());
    inOrder.sort(Comparator.comparingLong(StoredJob::arrivalOrder));
    return inOrder;
  }

  /** The jobs that have ended for good, in the order of their ends. */
  List<StoredEnd> inOrderOfEnd() {
    List<StoredEnd> inOrder = new ArrayList<>(ends.values());
    inOrder.sort(Comparator.comparingLong(end -> end.record().endedAtMicros()));
    return inOrder;
  }
}
