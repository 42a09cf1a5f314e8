package loomreel.faktory.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loomreel.faktory.queue.Job.State;
import loomreel.wal.WriteAheadLog;

/** Replays the records of earlier processes into jobs. */
final class JobReplay implements WriteAheadLog.Reader {
  private final JobRecordCodec codec;
  private final Map<String, StoredJob> jobs = new HashMap<>();

  JobReplay(JobRecordCodec codec) {
    this.codec = codec;
  }

  @Override
  public void record(int segment, boolean sameBoot, byte[] content) throws IOException {
    JobRecord record = codec.decode(content);
    if (record instanceof JobRecord.FullJob full) {
      jobs.put(full.jid(), StoredJob.of(full, segment, content.length, sameBoot));
    } else if (record instanceof JobRecord.StateChange change) {
      replayStateChange(change, sameBoot);
    } else if (record instanceof JobRecord.HandedOut) {
      StoredJob job = jobs.get(record.jid());
      if (job != null) {
        job.markHandedOut();
      }
    } else {
      jobs.remove(record.jid());
    }
  }

  private void replayStateChange(JobRecord.StateChange change, boolean sameBoot) {
    StoredJob before = jobs.get(change.jid());
    State state = change.snapshot().state();
    if (state.isFinal() && state != State.DEAD) {
      jobs.put(change.jid(), StoredJob.ended(change, sameBoot));
    } else if (before != null && before.hasPayload()) {
      jobs.put(change.jid(), before.after(change, sameBoot));
    }
    // Else its full record was in a segment that has been removed: the job has ended since, or a
    // new full record follows.
  }

  /** The jobs in the order of their arrival. */
  List<StoredJob> inArrivalOrder() {
    List<StoredJob> inOrder = new ArrayList<>(jobs.values());
    inOrder.sort(Comparator.comparingLong(StoredJob::arrivalOrder));
    return inOrder;
  }
}
