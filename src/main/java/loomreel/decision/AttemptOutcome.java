package loomreel.decision;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
  /** It succeeded. */
  OK(false),
  /** The worker reported an error. */
  ERROR(false),
  /** The worker found the request invalid, as every other worker would. */
  INVALID(false),
  /** The worker rejected it before it ran, for lack of capacity. */
  REJECTED(true),
  /** No answer arrived in time. */
  TIMEOUT(false),
  /** No connection could be opened. */
  CONNECT_FAILED(true),
  /** The connection broke after something may have been sent. */
  RESET(false),
  /** This dispatcher stopped waiting for it. */
  CANCELLED(false),
  /** It was ended before anything of it was sent. */
  NOT_ATTEMPTED(true);

  private final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }

  /** Whether this outcome proves that the attempt never ran, so that any work may be repeated. */
  public boolean neverRan() {
    return neverRan;
  }
}
