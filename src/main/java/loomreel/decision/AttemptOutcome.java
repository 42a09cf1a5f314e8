package loomreel.decision;

/** The outcome of an attempt or of a health check. */
public enum AttemptOutcome {
  /** It succeeded. */
  OK(false),
  /** The worker reported an error. */
  ERROR(false),
  /** The worker rejected the request as invalid. Every other worker would reject it too. */
  INVALID(false),
  /** The worker rejected it before it ran, because the worker had no capacity. */
  REJECTED(true),
  /** No answer arrived before the timeout. */
  TIMEOUT(false),
  /** No connection could be established. */
  CONNECT_FAILED(true),
  /** The connection was lost after a part of the request may have been sent. */
  RESET(false),
  /** The dispatcher cancelled it and stopped waiting for the answer. */
  CANCELLED(false),
  /** It ended before any part of the request was sent. */
  NOT_ATTEMPTED(true);

  private final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }

  /**
   * Returns whether this outcome proves that the attempt never ran. If it does, another attempt is
   * safe even for a request that is not idempotent.
   */
  public boolean neverRan() {
    return neverRan;
  }
}
