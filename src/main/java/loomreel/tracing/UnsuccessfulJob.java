package loomreel.tracing;

import java.util.Optional;

/**
 * A job that was not served in time.
 *
 * @param node the name of the dispatcher at which the job arrived
 * @param id the id of the job
 * @param end how the job ended
 * @param attempts the number of attempts that were started
 * @param lastAttempt the last attempt; empty if there was none
 * @param reason the reason of the decision module for the end of the job, as words in lower case;
 *     empty if the trace has none
 * @param arrivedAtMicros the time of arrival, in microseconds of Unix time
 * @param durationMicros the time from the arrival to the end of the job, in microseconds; for a
 *     lost job, the time to the next start or the last line of its dispatcher
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
   * The last attempt that was started.
   *
   * @param workerId the id of the worker to which the attempt was sent
   * @param outcome the outcome of the attempt of the job that ended last, or null if none has ended
   */
  public record LastAttempt(String workerId, String outcome) {}
}
