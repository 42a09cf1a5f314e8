package loomreel.faktory.storage;

import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.Job.State;

/** A record of the log that {@link DurableJobStore} writes; {@link JobRecordCodec} has its form. */
sealed interface JobRecord {
  /** The client's id of the job that the record is about. */
  String jid();

  /**
   * The fields that change together with a job's state.
   *
   * @param state the state, never null in a record that the store has written
   * @param dueMicros see {@link Job#dueMicros}
   * @param failures see {@link Job#failures}
   * @param mayHaveRun see {@link Job#mayHaveRun}
   * @param handedOut whether the job was active and its try had gone out to a worker
   * @param reason see {@link Job#reason}
   * @param updatedAt see {@link Job#updatedAt}
   */
  record Snapshot(
      State state,
      long dueMicros,
      int failures,
      boolean mayHaveRun,
      boolean handedOut,
      String reason,
      long updatedAt) {
    /** The snapshot of a job as it is now. */
    static Snapshot of(Job job) {
      return new Snapshot(
          job.state,
          job.dueMicros,
          job.failures,
          job.mayHaveRun,
          job.state == State.ACTIVE && job.handedOut,
          job.reason,
          job.updatedAt);
    }
  }

  /** A job with its payload: written when it is pushed, and again when its segment is compacted. */
  final class FullJob implements JobRecord {
    private final String jid;
    private final Snapshot snapshot;
    private final long arrivalOrder;
    private final byte[] payload;

    /** Takes over the payload; it is not copied. */
    FullJob(String jid, Snapshot snapshot, long arrivalOrder, byte[] payload) {
      this.jid = jid;
      this.snapshot = snapshot;
      this.arrivalOrder = arrivalOrder;
      this.payload = payload;
    }

    @Override
    public String jid() {
      return jid;
    }

    /** The job's fields beside its payload. */
    Snapshot snapshot() {
      return snapshot;
    }

    /** The job's position in the order of arrival. */
    long arrivalOrder() {
      return arrivalOrder;
    }

    /** The payload as pushed; not copied. */
    byte[] payload() {
      return payload;
    }
  }

  /** A change of state; the payload stands in an earlier record. */
  record StateChange(String jid, Snapshot snapshot) implements JobRecord {}

  /** The try that is under way is about to go out to a worker. */
  record HandedOut(String jid) implements JobRecord {}

  /** A dead job is no longer kept. */
  record Dropped(String jid) implements JobRecord {}
}
