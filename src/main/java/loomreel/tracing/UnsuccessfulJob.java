package loomreel.tracing;

import java.util.Optional;

/**
 * A job that has ended in any way other than {@link JobEnd#SERVED}. This includes jobs that were
 * answered with success, but too late ({@link JobEnd#LATE}).
 *
 * @param node the name of the dispatcher at which the job arrived
 * @param id the id of the job
 * @param end how the job ended
 * @param attempts the number of attempts that were started
 * @param lastAttempt the last attempt; empty if no attempt was started
 * @param reason the reason that the decision module gave for the end of the job, as words in lower
 *     case; empty if the trace has no reason
 * @param arrivedAtMicros the time of arrival, in microseconds of Unix time
 * @param durationMicros the time from the arrival to the end of the job, in microseconds. A lost
 *     job counts as ended at the next start of its dispatcher or, without another start, at the
 *     last line of its dispatcher.
 */
public record UnsuccessfulJob(
    String node,
    String id,
    JobEnd end,
    int attempts,
    Optional<LastAttempt> lastAttempt,
    Optional<String> reason,
    long arrivedAtMicros,
    long durationMicros) {
  /**
   * The worker of the attempt that was started last, and the outcome of the attempt that ended
   * last. These may be two different attempts of the job: if the attempt that was started last has
   * not ended, the outcome is that of another attempt.
   *
   * @param workerId the id of the worker to which the attempt that was started last was sent
   * @param outcome the outcome of the attempt that ended last, or null if no attempt has ended
   */
  public record LastAttempt(String workerId, String outcome) {}
}
