package loomreel.faktory.queue;

/**
 * A job that a Faktory client has pushed.
 *
 * <p>The fields that change belong to {@link JobQueue}, which alone moves a job from state to
 * state; {@link #logSegment}, {@link #logRecordBytes} and {@link #handedOut} belong to {@link
 * DurableJobStore}. Times are microseconds of Unix time.
 */
public final class Job {
  /**
   * Where a job stands. The names stand in the records of {@link DurableJobStore} and must not
   * change.
   *
   * <table>
   *   <caption>Transitions</caption>
   *   <tr><th>from</th><th>to</th><th>when</th></tr>
   *   <tr><td>SCHEDULED, RETRY</td><td>ENQUEUED</td><td>it is due, or requeued</td></tr>
   *   <tr><td>ENQUEUED</td><td>ACTIVE</td><td>a try of it starts</td></tr>
   *   <tr><td>ACTIVE</td><td>DONE</td><td>the try was served</td></tr>
   *   <tr><td>ACTIVE</td><td>RETRY</td><td>the try was rejected, or failed and may be retried</td></tr>
   *   <tr><td>ACTIVE</td><td>ENQUEUED</td><td>the try was withdrawn before it ran</td></tr>
   *   <tr><td>ACTIVE</td><td>DEAD</td><td>the try failed, and no further one is allowed</td></tr>
   *   <tr><td>ACTIVE</td><td>EXPIRED</td><td>its deadline comes before the next try</td></tr>
   *   <tr><td>SCHEDULED, RETRY, ENQUEUED</td><td>EXPIRED</td><td>its deadline has passed</td></tr>
   *   <tr><td>SCHEDULED, RETRY, ENQUEUED</td><td>CANCELLED</td><td>discarded or flushed</td></tr>
   *   <tr><td>SCHEDULED, RETRY, ENQUEUED</td><td>DEAD</td><td>killed</td></tr>
   *   <tr><td>DEAD</td><td>ENQUEUED</td><td>requeued</td></tr>
   * </table>
   *
   * A try that is under way is never interrupted: nothing but its own end moves an ACTIVE job.
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
        case SCHEDULED, RETRY -> next == ENQUEUED || isEndWithoutTry(next);
        case ENQUEUED -> next == ACTIVE || isEndWithoutTry(next);
        case ACTIVE ->
            switch (next) {
              case ENQUEUED, RETRY, DONE, DEAD, EXPIRED -> true;
              case SCHEDULED, ACTIVE, CANCELLED -> false;
            };
        case DEAD -> next == ENQUEUED;
        case DONE, EXPIRED, CANCELLED -> false;
      };
    }

    private static boolean isEndWithoutTry(State next) {
      return next == DEAD || next == EXPIRED || next == CANCELLED;
    }
  }

  /**
   * What is known of a job from its payload.
   *
   * @param jid the client's id of the job
   * @param queue the queue that it was pushed to
   * @param type the jobtype
   * @param requestClass position of its class in the settings
   * @param tenant position of its tenant in the settings, or -1 for none
   * @param key what the job needs at hand, or null for nothing
   * @param slots how many slots of a worker it takes
   * @param work its cost in microseconds at speed 1, or NaN where it is not known
   * @param priority 1 to 9, the highest first
   * @param retry how many failures are followed by a retry: 0 also keeps no dead job, -1 never
   *     retries
   * @param at earliest start, in microseconds of Unix time; 0 for at once
   * @param deadline the time after which it is not worth starting, in microseconds of Unix time;
   *     {@link Long#MAX_VALUE} for none
   */
  public record Spec(
      String jid,
      String queue,
      String type,
      int requestClass,
      int tenant,
      String key,
      double slots,
      double work,
      int priority,
      int retry,
      long at,
      long deadline) {
    /** The specification of a job of which only the jid is known. */
    public static Spec of(String jid) {
      return new Spec(jid, "", "", 0, -1, null, 1, Double.NaN, 0, 0, 0, Long.MAX_VALUE);
    }

    /** Whether the job has a deadline of its own. */
    boolean hasDeadline() {
      return deadline < Long.MAX_VALUE;
    }
  }

  public final Spec spec;

  /** The whole payload as pushed; null once the job has ended and is not kept as dead. */
  public byte[] payload;

  /** Position in the order of arrival, which decides where all else is equal. */
  public final long arrivalOrder;

  /** Null until the job has entered the queue. */
  public State state;

  /** When it is to be enqueued, while it is SCHEDULED or in RETRY. */
  public long dueMicros;

  /** How many tries have failed; rejected ones do not count. */
  public int failures;

  /** Why it is in its state, for people; empty where there is nothing to say. */
  public String reason = "";

  /** What became known after its end, or of a try that was given up; for people. */
  public String evidence = "";

  /** Whether some try of it may have run. */
  public boolean mayHaveRun;

  /** The result of the worker that served it; null before that. */
  public byte[] result;

  /** Progress as reported by a worker or client. */
  public String percent = "";

  /** Description of the progress as reported by a worker or client. */
  public String description = "";

  /** When the state last changed. */
  public long updatedAt;

  /** How often it has been rejected since its last failure. */
  int rejections;

  /** The log segment that holds its full record; -1 for none. */
  public int logSegment = -1;

  /** Size of that record in bytes. */
  public int logRecordBytes;

  /** Whether the log says that the try under way has gone out to a worker. */
  public boolean handedOut;

  /**
   * Creates a job that has no state yet.
   *
   * @param payload as pushed; not copied
   */
  public Job(Spec spec, byte[] payload, long arrivalOrder) {
    this.spec = spec;
    this.payload = payload;
    this.arrivalOrder = arrivalOrder;
  }

  /** Size of the payload that is still held. */
  int payloadBytes() {
    return payload == null ? 0 : payload.length;
  }
}
