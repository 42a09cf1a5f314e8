package loomreel.faktory.queue;

/**
 * A job that a Faktory client has pushed.
 *
 * <p>{@link JobQueue} alone moves a job from state to state. The accessors of the log record and of
 * {@link #isHandedOut} are for the storage. Times are microseconds of Unix time.
 */
public final class Job {
  /**
   * Where a job stands. The names stand in stored records and must not change.
   *
   * <table>
   *   <caption>Transitions</caption>
   *   <tr><th>from</th><th>to</th><th>when</th></tr>
   *   <tr><td>SCHEDULED, RETRY</td><td>ENQUEUED</td><td>it is due, or requeued</td></tr>
   *   <tr><td>ENQUEUED</td><td>ACTIVE</td><td>an attempt starts</td></tr>
   *   <tr><td>ACTIVE</td><td>DONE</td><td>the attempt was served</td></tr>
   *   <tr><td>ACTIVE</td><td>RETRY</td><td>the attempt was rejected, or failed and may be retried</td></tr>
   *   <tr><td>ACTIVE</td><td>ENQUEUED</td><td>the attempt was withdrawn before it ran</td></tr>
   *   <tr><td>ACTIVE</td><td>DEAD</td><td>the attempt failed, and no further one is allowed</td></tr>
   *   <tr><td>ACTIVE</td><td>EXPIRED</td><td>its deadline is before the next attempt</td></tr>
   *   <tr><td>SCHEDULED, RETRY, ENQUEUED</td><td>EXPIRED</td><td>its deadline has passed</td></tr>
   *   <tr><td>SCHEDULED, RETRY, ENQUEUED</td><td>CANCELLED</td><td>discarded or flushed</td></tr>
   *   <tr><td>SCHEDULED, RETRY, ENQUEUED</td><td>DEAD</td><td>killed</td></tr>
   *   <tr><td>DEAD</td><td>ENQUEUED</td><td>requeued</td></tr>
   * </table>
   *
   * An attempt in flight is never interrupted: only its own end moves an ACTIVE job.
   */
  public enum State {
    SCHEDULED,
    ENQUEUED,
    ACTIVE,
    RETRY,
    DONE,
    DEAD,
    EXPIRED,
    CANCELLED;

    /** Whether the job has ended; a dead job may still be requeued. */
    public boolean isFinal() {
      return switch (this) {
        case SCHEDULED, ENQUEUED, ACTIVE, RETRY -> false;
        case DONE, DEAD, EXPIRED, CANCELLED -> true;
      };
    }

    /** Whether a job may go from this state to another, by the table above. */
    boolean canBecome(State next) {
      return switch (this) {
        case SCHEDULED, RETRY -> next == ENQUEUED || isEndWithoutAttempt(next);
        case ENQUEUED -> next == ACTIVE || isEndWithoutAttempt(next);
        case ACTIVE ->
            switch (next) {
              case ENQUEUED, RETRY, DONE, DEAD, EXPIRED -> true;
              case SCHEDULED, ACTIVE, CANCELLED -> false;
            };
        case DEAD -> next == ENQUEUED;
        case DONE, EXPIRED, CANCELLED -> false;
      };
    }

    private static boolean isEndWithoutAttempt(State next) {
      return next == DEAD || next == EXPIRED || next == CANCELLED;
    }
  }

  /**
   * The fields that change together with the state, as they are stored.
   *
   * @param state the state, never null in a stored snapshot
   * @param dueMicros see {@link Job#dueMicros()}
   * @param failures see {@link Job#failures()}
   * @param mayHaveRun see {@link Job#mayHaveRun()}
   * @param handedOut whether the job was active and its attempt had been handed out to a worker
   * @param reason see {@link Job#reason()}
   * @param updatedAt see {@link Job#updatedAt()}
   */
  public record Snapshot(
      State state,
      long dueMicros,
      int failures,
      boolean mayHaveRun,
      boolean handedOut,
      String reason,
      long updatedAt) {}

  /** A job that is not in the log. */
  private static final int NO_SEGMENT = -1;

  /** Estimate of the heap for a job that has not ended and its index entries, without its texts. */
  static final int LIVE_BYTES = 512;

  /** The same for a job that has ended. */
  static final int ENDED_BYTES = 320;

  public final JobSpec spec;

  /** Null once the job has ended and is not retained as dead. */
  byte[] payload;

  final long arrivalOrder;

  /** Null until the job has entered the queue. */
  State state;

  long dueMicros;
  int failures;
  String reason = "";
  String evidence = "";
  boolean mayHaveRun;

  /** Null until a worker has served the job, and again once it is not retained. */
  byte[] result;

  long updatedAt;

  /** How often it has been rejected since its last failure. */
  int rejections;

  /** The part of a {@link HeapUse} that this job is; 0 while it is in none. */
  long countedHeapBytes;

  private String percent = "";
  private String description = "";
  private int logSegment = NO_SEGMENT;
  private int logRecordBytes;
  private boolean handedOut;

  /**
   * Creates a job that has no state yet.
   *
   * @param payload as pushed; not copied
   */
  public Job(JobSpec spec, byte[] payload, long arrivalOrder) {
    this.spec = spec;
    this.payload = payload;
    this.arrivalOrder = arrivalOrder;
  }

  /** Creates a job that has no state yet, with the fields of a stored one. */
  public static Job restored(
      JobSpec spec, byte[] payload, long arrivalOrder, Snapshot stored, boolean mayHaveRun) {
    Job job = new Job(spec, payload, arrivalOrder);
    job.dueMicros = stored.dueMicros();
    job.failures = stored.failures();
    job.mayHaveRun = mayHaveRun;
    return job;
  }

  /** Creates a job that never enters a queue and stays in the state in which it was stored. */
  public static Job unusable(
      String jid, byte[] payload, long arrivalOrder, Snapshot stored, boolean handedOut) {
    Job job = restored(JobSpec.of(jid), payload, arrivalOrder, stored, stored.mayHaveRun());
    job.state = stored.state();
    job.reason = stored.reason();
    job.updatedAt = stored.updatedAt();
    job.handedOut = handedOut;
    return job;
  }

  /** The fields that change together with the state, as they are now. */
  public Snapshot snapshot() {
    return new Snapshot(
        state,
        dueMicros,
        failures,
        mayHaveRun,
        state == State.ACTIVE && handedOut,
        reason,
        updatedAt);
  }

  /** The specification that the payload contains. */
  public JobSpec spec() {
    return spec;
  }

  /** The complete payload as pushed; null once the job has ended and is not retained as dead. */
  public byte[] payload() {
    return payload;
  }

  /** Size of the payload that is still held. */
  int payloadBytes() {
    return payload == null ? 0 : payload.length;
  }

  /** Estimate of the heap that the job occupies, with its entries in the indexes of the queue. */
  long heapBytes() {
    int texts = evidence.length() + reason.length() + percent.length() + description.length();
    int keyBytes = spec.key() == null ? 0 : spec.key().length();
    int resultBytes = result == null ? 0 : result.length;
    int base = state != null && state.isFinal() ? ENDED_BYTES : LIVE_BYTES;
    return (long) base + texts + keyBytes + resultBytes + payloadBytes();
  }

  /** Position in the order of arrival, which decides where all else is equal. */
  public long arrivalOrder() {
    return arrivalOrder;
  }

  /** The state; null until the job has entered the queue. */
  public State state() {
    return state;
  }

  /** When it is to be enqueued; only valid while it is SCHEDULED or in RETRY. */
  public long dueMicros() {
    return dueMicros;
  }

  /** How many attempts have failed; rejected ones do not count. */
  public int failures() {
    return failures;
  }

  /** Why it is in its state, for people; empty where it needs no explanation. */
  public String reason() {
    return reason;
  }

  /** Reports of workers on attempts that had ended, for people. */
  public String evidence() {
    return evidence;
  }

  /** Whether some attempt of it may have run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** The result of the worker that served it; null before that, and where it is not retained. */
  public byte[] result() {
    return result;
  }

  /** When the state last changed. */
  public long updatedAt() {
    return updatedAt;
  }

  /** Records the progress that a worker or client has reported. */
  void setProgress(String newPercent, String newDescription) {
    percent = newPercent;
    description = newDescription;
  }

  /** Progress as reported by a worker or client. */
  public String percent() {
    return percent;
  }

  /** Description of the progress as reported by a worker or client. */
  public String description() {
    return description;
  }

  /** Records that the full record of the job stands in a segment of the log. */
  public void setLogRecord(int segment, int bytes) {
    logSegment = segment;
    logRecordBytes = bytes;
  }

  /** Records that the full record of the job is not needed any more. */
  public void clearLogRecord() {
    logSegment = NO_SEGMENT;
  }

  /** Whether the log holds a full record of the job. */
  public boolean hasLogRecord() {
    return logSegment != NO_SEGMENT;
  }

  /** The log segment that holds the full record; only valid while {@link #hasLogRecord}. */
  public int logSegment() {
    return logSegment;
  }

  /** Size of the full record in bytes. */
  public int logRecordBytes() {
    return logRecordBytes;
  }

  /** Sets whether the log has a record that the attempt in flight was handed out to a worker. */
  public void setHandedOut(boolean isHandedOut) {
    handedOut = isHandedOut;
  }

  /** Whether the log has a record that the attempt in flight was handed out to a worker. */
  public boolean isHandedOut() {
    return handedOut;
  }
}
