package loomreel.decision;

/**
 * The state of one attempt of a request at one worker. Times are in microseconds of the
 * dispatcher's clock.
 */
final class AttemptState {
  /** The value of {@link #startedAt} while the worker has not reported the start of the job. */
  private static final long NOT_STARTED = -1;

  final PendingRequest request;
  final WorkerState worker;

  /** The time at which the attempt was sent. */
  final long sentAt;

  private long startedAt = NOT_STARTED;
  private boolean open = true;
  private boolean neverRan;
  private boolean invalid;
  private boolean cancelled;

  AttemptState(PendingRequest request, WorkerState worker, long sentAt) {
    this.request = request;
    this.worker = worker;
    this.sentAt = sentAt;
  }

  /** Returns whether the attempt is open, that is, whether its end has not been reported yet. */
  boolean isOpen() {
    return open;
  }

  /**
   * Returns whether the worker has reported the start of the job. The result stays true after the
   * attempt has ended.
   */
  boolean hasStarted() {
    return startedAt != NOT_STARTED;
  }

  /**
   * Returns the time at which the job started. If no start was reported, returns the time at which
   * the attempt was sent.
   */
  long startedOrSentAt() {
    return hasStarted() ? startedAt : sentAt;
  }

  /**
   * Returns whether the attempt has ended and its outcome proves that it never ran. The result is
   * false for an open attempt.
   */
  boolean neverRan() {
    return neverRan;
  }

  /** Returns whether the attempt has ended because the worker rejected the request as invalid. */
  boolean isInvalid() {
    return invalid;
  }

  /** Records that the worker reported the start of the job. */
  void recordStart(long now) {
    startedAt = now;
  }

  /** Records the end of the attempt. */
  void recordEnd(AttemptOutcome outcome) {
    open = false;
    neverRan = outcome.neverRan();
    invalid = outcome == AttemptOutcome.INVALID;
  }

  /**
   * Marks the attempt as cancelled if it is open.
   *
   * @return true if this call marked the attempt; false if the attempt has ended or was already
   *     marked
   */
  boolean markCancelled() {
    boolean isFirstCancellation = open && !cancelled;
    cancelled |= open;
    return isFirstCancellation;
  }
}
