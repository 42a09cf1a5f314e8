package loomreel.decision;

/**
 * The outcome of an attempt or of a health check. An attempt has run if the worker has started its
 * job.
 */
public enum AttemptOutcome {
  /** The attempt or health check succeeded. */
  OK(false),
  /** The worker reported an error. */
  ERROR(false),
  /** The worker rejected the request as invalid. Every other worker would reject it too. */
  INVALID(false),
  /** The worker had no capacity, so it rejected the attempt before the attempt ran. */
  REJECTED(true),
  /** No answer arrived before the timeout. */
  TIMEOUT(false),
  /** No connection could be established. */
  CONNECT_FAILED(true),
  /** The connection was lost after a part of the request may have been sent. */
  RESET(false),
  /** The dispatcher cancelled the attempt and stopped waiting for the answer. */
  CANCELLED(false),
  /** The attempt ended before any part of the request was sent. */
  NOT_ATTEMPTED(true);

  private final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }

  /**
   * Returns whether this outcome proves that the attempt never ran. After an attempt that never
   * ran, another attempt is safe even for a request that is not idempotent.
   */
  public boolean neverRan() {
    return neverRan;
  }
}
