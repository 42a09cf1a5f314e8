package loomreel.faktory.storage;

import java.io.IOException;
import loomreel.faktory.payload.InvalidPayloadException;
import loomreel.faktory.payload.JobPayloadReader;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.Job.State;
import loomreel.faktory.queue.JobSpec;
import loomreel.faktory.queue.StateReasons;

/**
 * The state of one job whose full record is in the log, by its records up to some record. Used
 * while {@link DurableJobStore} restores, and not afterwards.
 */
final class StoredJob {
  private static final String INTERRUPTED_AFTER_HAND_OUT =
      StateReasons.MAY_HAVE_RUN + ": " + StateReasons.INTERRUPTED;

  private final String jid;

  private final byte[] payload;

  private final long arrivalOrder;

  /** The segment that holds the full record, and that record's size in bytes. */
  private final int segment;

  private final int recordBytes;

  /** Whether the machine has run on since the last change of state was written. */
  private final boolean sameBoot;

  private final Job.Snapshot snapshot;

  /** Whether its attempt was handed out to a worker. */
  private boolean handedOut;

  /** The specification of the payload under these settings; null where it cannot be used. */
  private JobSpec spec;

  /** Why these settings cannot use the payload, where spec is null. */
  private String unusableReason;

  private StoredJob(
      JobRecord record,
      Job.Snapshot snapshot,
      byte[] payload,
      long arrivalOrder,
      int segment,
      int recordBytes,
      boolean sameBoot) {
    jid = record.jid();
    this.snapshot = snapshot;
    this.payload = payload;
    this.arrivalOrder = arrivalOrder;
    this.segment = segment;
    this.recordBytes = recordBytes;
    this.sameBoot = sameBoot;
    handedOut = snapshot.handedOut();
  }

  /** A job whose full record has been read. */
  static StoredJob of(JobRecord.FullJob record, int segment, int recordBytes, boolean sameBoot) {
    return new StoredJob(
        record,
        record.snapshot(),
        record.payload(),
        record.arrivalOrder(),
        segment,
        recordBytes,
        sameBoot);
  }

  /** This job after a change of state that was read. */
  StoredJob after(JobRecord.StateChange record, boolean changeSameBoot) {
    return new StoredJob(
        record, record.snapshot(), payload, arrivalOrder, segment, recordBytes, changeSameBoot);
  }

  /** Records that the attempt under way was handed out. */
  void markHandedOut() {
    handedOut = true;
  }

  /** Reads the payload under the settings of this process. */
  void parsePayload(JobPayloadReader payloads) {
    try {
      spec = payloads.read(Json.MAPPER.readTree(payload));
    } catch (InvalidPayloadException | IOException e) {
      unusableReason = e.getMessage();
    }
  }

  /**
   * The job as it is to be restored: one that was active when the process ended is enqueued again.
   * One that may have run and must not run twice is dead, also where it was pushed under settings
   * that allowed its repetition.
   *
   * @param isIdempotent whether it may run again although it may have run
   */
  Restored resolve(boolean isIdempotent) {
    if (snapshot.state() != State.ACTIVE) {
      if (snapshot.mayHaveRun() && !isIdempotent && !snapshot.state().isFinal()) {
        return new Restored(toJob(true), State.DEAD, StateReasons.MAY_HAVE_RUN, true);
      }
      return new Restored(toJob(snapshot.mayHaveRun()), snapshot.state(), snapshot.reason(), false);
    }
    boolean mayHaveRun = snapshot.mayHaveRun() || mayHaveBeenHandedOut();
    if (mayHaveRun && !isIdempotent) {
      return new Restored(toJob(true), State.DEAD, INTERRUPTED_AFTER_HAND_OUT, true);
    }
    return new Restored(
        toJob(snapshot.mayHaveRun()), State.ENQUEUED, StateReasons.INTERRUPTED, true);
  }

  private Job toJob(boolean mayHaveRun) {
    return Job.restored(spec, payload, arrivalOrder, snapshot, mayHaveRun);
  }

  /** After a loss of power, the record that an attempt was handed out may be missing. */
  private boolean mayHaveBeenHandedOut() {
    return handedOut || !sameBoot;
  }

  /**
   * A job for {@link JobQueue#restore}.
   *
   * @param job one that has no state yet
   * @param state the state to give it
   * @param reason the reason of that state
   * @param isChanged whether that is another state than the stored one
   */
  record Restored(Job job, State state, String reason, boolean isChanged) {}

  /** The job as it is stored, of a payload that these settings cannot use. */
  Job toUnusableJob() {
    return Job.unusable(jid, payload, arrivalOrder, snapshot, mayHaveBeenHandedOut());
  }

  String jid() {
    return jid;
  }

  /** Whether the payload can be used; known after {@link #parsePayload}. */
  boolean isUsable() {
    return spec != null;
  }

  /** Why the payload cannot be used. */
  String unusableReason() {
    return unusableReason;
  }

  /** The specification of a usable payload. */
  JobSpec spec() {
    return spec;
  }

  /** Position in the order of arrival. */
  long arrivalOrder() {
    return arrivalOrder;
  }

  /** The segment that holds the full record. */
  int segment() {
    return segment;
  }

  /** Size of the full record in bytes. */
  int recordBytes() {
    return recordBytes;
  }
}
