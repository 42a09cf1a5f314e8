package loomreel.decision;

/** One attempt of a request at one worker. */
final class AttemptState {
  private static final long NOT_STARTED = -1;

  final PendingRequest request;
  final WorkerState worker;
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

  /** Whether its end has not been reported yet. */
  boolean isOpen() {
    return open;
  }

  /** Whether the worker has reported that the job runs, or has run. */
  boolean hasStarted() {
    return startedAt != NOT_STARTED;
  }

  /** When the job started, or when the attempt was sent if no start was reported. */
  long startedOrSentAt() {
    return hasStarted() ? startedAt : sentAt;
  }

  /** Whether it has ended with proof that it never ran. */
  boolean neverRan() {
    return neverRan;
  }

  /** Whether it has ended because the request is invalid. */
  boolean isInvalid() {
    return invalid;
  }

  /** The worker reports that the job runs. */
  void recordStart(long now) {
    startedAt = now;
  }

  /** It has ended. */
  void recordEnd(AttemptOutcome outcome) {
    open = false;
    neverRan = outcome.neverRan();
    invalid = outcome == AttemptOutcome.INVALID;
  }

  /**
   * Marks it as cancelled.
   *
   * @return false if it has ended or was cancelled before
   */
  boolean markCancelled() {
    boolean isFirstCancellation = open && !cancelled;
    cancelled |= open;
    return isFirstCancellation;
  }
}
