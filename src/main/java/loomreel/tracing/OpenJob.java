package loomreel.tracing;

import java.util.Optional;

/** A job that has arrived at a dispatcher and has not ended yet. */
final class OpenJob {
  private final String node;
  private final String id;
  private final long arrivedAtMicros;
  private final double latencyObjectiveMicros;
  private int attempts;

  /** The worker of the last attempt; null before the first one. */
  private String lastWorkerId;

  /** The outcome of the attempt that ended last; null before the end of the first one. */
  private String lastOutcome;

  /**
   * Creates the job of an {@code arrival} line.
   *
   * @param latencyObjectiveMicros the time since the arrival, in microseconds, after which a
   *     success counts as late
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

  /** Returns the worker of the last attempt, or null if there was no attempt. */
  String lastWorkerId() {
    return lastWorkerId;
  }

  /** Returns how the job ends if it is answered with success at a point in time. */
  JobEnd successAt(long unixMicros) {
    return ageMicrosAt(unixMicros) > latencyObjectiveMicros ? JobEnd.LATE : JobEnd.SERVED;
  }

  /** Returns how the job ends if it is rejected at a point in time. */
  JobEnd rejectionAt(long unixMicros) {
    if (attempts > 0) {
      return JobEnd.REJECTED_AFTER_ATTEMPT;
    }
    return unixMicros == arrivedAtMicros
        ? JobEnd.REJECTED_ON_ARRIVAL
        : JobEnd.REJECTED_WHILE_QUEUED;
  }

  long ageMicrosAt(long unixMicros) {
    return unixMicros - arrivedAtMicros;
  }

  /** Returns the report on the job if it ends at a point in time. */
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
        ageMicrosAt(unixMicros));
  }
}
