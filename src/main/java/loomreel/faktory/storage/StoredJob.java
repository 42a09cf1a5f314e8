package loomreel.faktory.storage;

import java.io.IOException;
import loomreel.faktory.payload.PayloadValidator;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.Job.State;

/**
 * What the records of one job in the log amount to, replayed in order up to some record. Used while
 * {@link DurableJobStore} restores, and not afterwards.
 */
final class StoredJob {
  private static final String INTERRUPTED = "the process ended while it was tried";

  private final String jid;

  /** Null where only the end of the job is known. */
  private final byte[] payload;

  private final long arrivalOrder;

  /** The segment that holds the full record, and that record's size in bytes. */
  private final int segment;

  private final int recordBytes;

  /** Whether the machine has run on since the last change of state was written. */
  private final boolean sameBoot;

  private final JobRecord.Snapshot snapshot;

  /** Whether its try was handed out to a worker. */
  private boolean handedOut;

  /** What the payload says under these settings; null where they cannot use it. */
  private Job.Spec spec;

  /** Why these settings cannot use the payload, where spec is null. */
  private String unusableReason;

  private StoredJob(
      JobRecord record,
      JobRecord.Snapshot snapshot,
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

  /** A job of which only a record of its end is known. */
  static StoredJob ended(JobRecord.StateChange record, boolean sameBoot) {
    return new StoredJob(record, record.snapshot(), null, 0, 0, 0, sameBoot);
  }

  /** This job after a change of state that was read. */
  StoredJob after(JobRecord.StateChange record, boolean changeSameBoot) {
    return new StoredJob(
        record, record.snapshot(), payload, arrivalOrder, segment, recordBytes, changeSameBoot);
  }

  /** Notes that the try under way was handed out. */
  void markHandedOut() {
    handedOut = true;
  }

  /** Reads the payload under the settings of this process. */
  void parsePayload(PayloadValidator payloads) {
    try {
      spec = payloads.known(Json.MAPPER.readTree(payload));
    } catch (PayloadValidator.BadPayloadException | IOException e) {
      unusableReason = e.getMessage();
    }
  }

  /**
   * The job as it is to be restored: one that was being tried when the process ended waits again,
   * or is dead where it may have run and must not run twice.
   *
   * @param mayRepeat whether it may run again although it may have run
   */
  Restored resolve(boolean mayRepeat) {
    Job job = new Job(spec, payload, arrivalOrder);
    job.dueMicros = snapshot.dueMicros();
    job.failures = snapshot.failures();
    job.mayHaveRun = snapshot.mayHaveRun();
    if (snapshot.state() != State.ACTIVE) {
      return new Restored(job, snapshot.state(), snapshot.reason(), false);
    }
    boolean mayHaveRun = job.mayHaveRun || mayHaveBeenHandedOut();
    if (mayHaveRun && !mayRepeat) {
      job.mayHaveRun = true;
      return new Restored(job, State.DEAD, "may have run: " + INTERRUPTED, true);
    }
    return new Restored(job, State.ENQUEUED, INTERRUPTED, true);
  }

  /** With the machine's power, the record that a try was handed out may be lost as well. */
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
    Job job = new Job(Job.Spec.of(jid), payload, arrivalOrder);
    job.state = snapshot.state();
    job.dueMicros = snapshot.dueMicros();
    job.failures = snapshot.failures();
    job.mayHaveRun = snapshot.mayHaveRun();
    job.reason = snapshot.reason();
    job.updatedAt = snapshot.updatedAt();
    job.handedOut = mayHaveBeenHandedOut();
    return job;
  }

  String jid() {
    return jid;
  }

  boolean hasPayload() {
    return payload != null;
  }

  /** Whether the payload can be used; known after {@link #parsePayload}. */
  boolean isUsable() {
    return spec != null;
  }

  /** Why the payload cannot be used. */
  String unusableReason() {
    return unusableReason;
  }

  /** What the usable payload says. */
  Job.Spec spec() {
    return spec;
  }

  /** The last state that was read. */
  State state() {
    return snapshot.state();
  }

  /** When that state was entered, in microseconds of Unix time. */
  long updatedAt() {
    return snapshot.updatedAt();
  }

  /** Position in the order of arrival; 0 where only the end of the job is known. */
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
