package loomreel.tracing;

import java.util.Optional;

/** A job that has arrived at a dispatcher and has not ended yet. */
final class OpenJob {
  private final String dispatcher;
  private final String id;
  private final long arrivedAtMicros;
  private final double latencyObjectiveMicros;
  private int attempts;

  /** The id of the worker of the attempt that was started last; null if no attempt was started. */
  private String lastWorkerId;

  /** The outcome of the attempt that ended last; null if no attempt has ended. */
  private String lastOutcome;

  /**
   * Creates the job that an {@code arrival} line reports.
   *
   * @param latencyObjectiveMicros the time from the arrival, in microseconds, after which a
   *     successful answer is late
   */
  OpenJob(TraceLine arrival, double latencyObjectiveMicros) {
    dispatcher = arrival.dispatcher();
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

  /**
   * Returns the id of the worker of the attempt that was started last, or null if no attempt was
   * started.
   */
  String lastWorkerId() {
    return lastWorkerId;
  }

  /** Returns how the job ends if it is answered with success at the given time. */
  JobEnd successAt(long unixMicros) {
    return ageMicrosAt(unixMicros) > latencyObjectiveMicros ? JobEnd.LATE : JobEnd.SERVED;
  }

  /** Returns how the job ends if it is rejected at the given time. */
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

  /**
   * Returns the report on the job for an end at the given time.
   *
   * @param reason the reason for the end; empty if the trace has no reason
   */
  UnsuccessfulJob report(JobEnd end, Optional<String> reason, long unixMicros) {
    return new UnsuccessfulJob(
        dispatcher,
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
