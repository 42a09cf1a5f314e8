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
  private final JobRecordCodec codec;

  /** Jobs whose full record is needed, by jid. */
  private final Map<String, StoredJob> jobs = new HashMap<>();

  /** Jobs that have ended for good, by jid; none of them is in {@link #jobs}. */
  private final Map<String, StoredEnd> ends = new HashMap<>();

  JobReplay(JobRecordCodec codec) {
    this.codec = codec;
  }

  @Override
  public void record(int segment, boolean sameBoot, byte[] content) throws IOException {
    JobRecord record = codec.decode(content);
    if (record instanceof JobRecord.FullJob full) {
      ends.remove(full.jid());
      jobs.put(full.jid(), StoredJob.of(full, segment, content.length, sameBoot));
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
      jobs.remove(record.jid());
    }
  }

  private void replayStateChange(
      JobRecord.StateChange change, int segment, boolean sameBoot, int recordBytes) {
    StoredJob before = jobs.get(change.jid());
    Job.Snapshot snapshot = change.snapshot();
    if (before != null) {
      jobs.put(change.jid(), before.after(change, sameBoot));
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
    jobs.remove(end.jid());
    ends.put(end.jid(), new StoredEnd(end, segment, recordBytes));
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
