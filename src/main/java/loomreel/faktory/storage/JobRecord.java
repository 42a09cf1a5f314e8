package loomreel.faktory.storage;

import loomreel.faktory.queue.Job;

/** A record of the log that {@link DurableJobStore} writes; {@link JobRecordCodec} has its form. */
sealed interface JobRecord {
  /** The client's id of the job that the record is about. */
  String jid();

  /** A job with its payload: written when it is pushed, and again when its segment is compacted. */
  final class FullJob implements JobRecord {
    private final String jid;
    private final Job.Snapshot snapshot;
    private final long arrivalOrder;
    private final byte[] payload;

    /** Takes ownership of the payload, which is not copied. */
    FullJob(String jid, Job.Snapshot snapshot, long arrivalOrder, byte[] payload) {
      this.jid = jid;
      this.snapshot = snapshot;
      this.arrivalOrder = arrivalOrder;
      this.payload = payload;
    }

    @Override
    public String jid() {
      return jid;
    }

    /** The job's fields apart from its payload. */
    Job.Snapshot snapshot() {
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
  record StateChange(String jid, Job.Snapshot snapshot) implements JobRecord {}

  /** The attempt that is under way is about to be handed out to a worker. */
  record HandedOut(String jid) implements JobRecord {}

  /**
   * A job has ended for good, and only its jid is known from now on. Written when it ends, and
   * again when its segment is compacted.
   *
   * @param state the final state
   * @param mayHaveRun whether some attempt may have run, where the job is dead
   * @param endedAtMicros when the job entered that state, in microseconds of Unix time
   */
  record Ended(String jid, Job.State state, boolean mayHaveRun, long endedAtMicros)
      implements JobRecord {}

  /**
   * A dead job is no longer retained, and nothing is known of its end. Written by earlier versions
   * only, in the place of {@link Ended}.
   */
  record Dropped(String jid) implements JobRecord {}
}
