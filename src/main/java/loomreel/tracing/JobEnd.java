package loomreel.tracing;

import java.util.Locale;

/** How a traced job ended, according to the trace of its dispatcher. */
public enum JobEnd {
  /** Answered with success within its latency objective. */
  SERVED,
  /** Answered with success after its latency objective. */
  LATE,
  /** Rejected at the time of its arrival. */
  REJECTED_ON_ARRIVAL,
  /** Rejected after its arrival, before any attempt. */
  REJECTED_WHILE_QUEUED,
  /** Rejected after at least one attempt that did not run or is safe to repeat. */
  REJECTED_AFTER_ATTEMPT,
  /** Answered with an error after which the job may have run. */
  FAILED,
  /** Cancelled by its client. */
  CANCELLED,
  /** Never answered: its dispatcher was killed, or its trace ends without an answer. */
  LOST;

  /** Returns the name as words in lower case, as used for the counters of the summary. */
  public String label() {
    return words(name());
  }

  /** Returns the name of an enum constant as words in lower case. */
  static String words(String constantName) {
    return constantName.toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
