package loomreel.tracing;

import java.util.Optional;

/**
 * A job that was not served in time.
 *
 * @param node the dispatcher that had it
 * @param attempts how many attempts were made
 * @param lastAttempt empty where there was none
 * @param reason the decision module's reason for ending the job, in words; empty where the trace
 *     has none
 * @param arrivedAtMicros Unix time
 * @param durationMicros from its arrival to its end, or to the last line of its dispatcher
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
   * @param workerId where it was sent
   * @param outcome how the job's latest finished attempt ended, or null where none has
   */
  public record LastAttempt(String workerId, String outcome) {}
}
