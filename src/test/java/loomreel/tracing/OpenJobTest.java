package loomreel.tracing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which {@link JobEnd} a job gets, depending on its attempts and times. */
class OpenJobTest {
  private static final long ARRIVAL_MICROS = 1_000_000;
  private static final long OBJECTIVE_MICROS = 200_000;

  private final OpenJob job =
      new OpenJob(
          new TraceLine("n0", ARRIVAL_MICROS, "arrival", Map.of("id", "x")), OBJECTIVE_MICROS);

  @Test
  void aSuccessIsLateOnlyAfterTheObjective() {
    assertEquals(JobEnd.SERVED, job.successAt(ARRIVAL_MICROS + OBJECTIVE_MICROS));
    assertEquals(JobEnd.LATE, job.successAt(ARRIVAL_MICROS + OBJECTIVE_MICROS + 1));
  }

  @Test
  void aRejectionWithoutAttemptsIsOnArrivalOrWhileQueued() {
    assertEquals(JobEnd.REJECTED_ON_ARRIVAL, job.rejectionAt(ARRIVAL_MICROS));
    assertEquals(JobEnd.REJECTED_WHILE_QUEUED, job.rejectionAt(ARRIVAL_MICROS + 1));
  }

  @Test
  void aRejectionAfterAnAttemptIsReportedAsRejectedAfterAttempt() {
    job.attemptStarted("w1");
    assertEquals(JobEnd.REJECTED_AFTER_ATTEMPT, job.rejectionAt(ARRIVAL_MICROS));
  }
}
