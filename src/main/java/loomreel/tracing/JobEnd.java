package loomreel.tracing;

import java.util.Locale;

/**
 * How a job ended, according to the trace of the dispatcher at which the job arrived. {@link
 * TraceSummary} determines the end of each job.
 */
public enum JobEnd {
  /** The job was answered with success within its latency objective. */
  SERVED,
  /** The job was answered with success, but later than its latency objective allows. */
  LATE,
  /** The job was rejected before any attempt, at the time of its arrival. */
  REJECTED_ON_ARRIVAL,
  /** The job was rejected before any attempt, at a later time than that of its arrival. */
  REJECTED_WHILE_QUEUED,
  /**
   * The job was rejected after at least one attempt. A rejection means that no attempt has run the
   * job, or that a retry of the job does no harm.
   */
  REJECTED_AFTER_ATTEMPT,
  /** The job was answered with an error. An attempt may have run the job. */
  FAILED,
  /** The client cancelled the job. */
  CANCELLED,
  /**
   * The trace of the dispatcher has no answer to the job. A job counts as lost in two cases: the
   * dispatcher was started again while the job was open, or the job was open at the end of the
   * trace and had arrived more than 5.5 seconds before the last line. If a job was open at the end
   * of the trace and had arrived at most 5.5 seconds before the last line, none of these constants
   * applies to the job.
   */
  LOST;

  /** Returns the name as words in lower case. {@link TraceSummary} uses it as a label of counts. */
  public String label() {
    return words(name());
  }

  /** Returns the name of an enum constant as words in lower case. */
  static String words(String constantName) {
    return constantName.toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
