package loomreel.tracing;

import java.util.Optional;

/** A job that has arrived at a dispatcher and not ended yet. */
final class OpenJob {
  private final String node;
  private final String id;
  private final long arrivedAtMicros;
  private final double latencyObjectiveMicros;
  private int attempts;

  /** Null before the first attempt. */
  private String lastWorkerId;

  /** Null before the first attempt has ended. */
  private String lastOutcome;

  /**
   * Creates the job of an {@code arrival} line.
   *
   * @param latencyObjectiveMicros an answer after this time counts as late
   */
  OpenJob(TraceLine arrival, double latencyObjectiveMicros) {
    node = arrival.node();
    id = arrival.text("id");
    arrivedAtMicros = arrival.unixMicros();
    this.latencyObjectiveMicros = latencyObjectiveMicros;
  }

  void attemptStarted(String workerId) {
    attempts++;
    lastWorkerId = workerId;
  }

  void attemptEnded(String outcome) {
    lastOutcome = outcome;
  }

  /** The worker of the last attempt, or null where there was none. */
  String lastWorkerId() {
    return lastWorkerId;
  }

  /** How the job ends if it is answered with success at this time. */
  JobEnd successAt(long unixMicros) {
    return ageAt(unixMicros) > latencyObjectiveMicros ? JobEnd.LATE : JobEnd.SERVED;
  }

  /** How the job ends if it is rejected at this time. */
  JobEnd rejectionAt(long unixMicros) {
    if (attempts > 0) {
      return JobEnd.REJECTED_AFTER_ATTEMPT;
    }
    return unixMicros == arrivedAtMicros
        ? JobEnd.REJECTED_ON_ARRIVAL
        : JobEnd.REJECTED_WHILE_QUEUED;
  }

  long ageAt(long unixMicros) {
    return unixMicros - arrivedAtMicros;
  }

  /** The report on the job if it ends at this time. */
  UnsuccessfulJob report(JobEnd end, Optional<String> reason, long unixMicros) {
    return new UnsuccessfulJob(
        node,
        id,
        end,
        attempts,
        attempts == 0
            ? Optional.empty()
            : Optional.of(new UnsuccessfulJob.LastAttempt(lastWorkerId, lastOutcome)),
        reason,
        arrivedAtMicros,
        ageAt(unixMicros));
  }
}
