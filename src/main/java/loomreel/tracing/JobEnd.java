package loomreel.tracing;

import java.util.Locale;

/** How a traced job ended, as its dispatcher's trace shows it. */
public enum JobEnd {
  /** Answered with success within its latency objective. */
  SERVED,
  /** Answered with success after its latency objective. */
  LATE,
  /** Rejected at the moment it arrived. */
  REJECTED_ON_ARRIVAL,
  /** Rejected later without having been sent to a worker. */
  REJECTED_WHILE_QUEUED,
  /** Rejected after at least one attempt that did not run or is safe to repeat. */
  REJECTED_AFTER_ATTEMPT,
  /** Answered with an error after which the job may have run. */
  FAILED,
  /** Cancelled by its client. */
  CANCELLED,
  /** Never answered: its dispatcher was killed, or its trace ends without an answer. */
  LOST;

  /** The name as words in lower case, as in the summary's counters. */
  public String label() {
    return words(name());
  }

  /** An enum constant's name as words in lower case. */
  static String words(String constantName) {
    return constantName.toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
