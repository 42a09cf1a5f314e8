package loomreel.faktory.queue;

/**
 * The texts of {@link Job#reason()}. They stand in stored records and in the replies to TRACK, so
 * they must not change.
 */
public final class StateReasons {
  /** A dead job that may have run and must not run twice. */
  public static final String MAY_HAVE_RUN = "may have run";

  /** A job whose attempt was under way when an earlier process ended. */
  public static final String INTERRUPTED = "the process ended while it was tried";

  /** A state that needs no explanation. */
  static final String NONE = "";

  static final String DEADLINE_PASSED = "its own deadline passed";
  static final String RESULT_NOT_RETAINED = "its result is not retained";
  static final String FAILED = "failed";
  static final String FAILED_BEFORE_IT_RAN = "failed before it ran";
  static final String DISCARDED = "discarded";
  static final String KILLED = "killed";
  static final String REQUEUED = "requeued";

  private StateReasons() {}

  /** A job whose attempt was rejected. */
  static String rejected(String why) {
    return "refused: " + why;
  }

  /** A job that expires because its next attempt would start after its deadline. */
  static String deadlineBeforeNextAttempt(String why) {
    return why + ", and its own deadline comes before the next try";
  }

  /** A dead job that has used up its retries. */
  static String retriesExhausted(String why) {
    return why + ", tries used up";
  }
}
