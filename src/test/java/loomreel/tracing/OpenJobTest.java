package loomreel.tracing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** The classification of a job's end by its attempts and times. */
class OpenJobTest {
  private static final long ARRIVAL = 1_000_000;
  private static final long OBJECTIVE = 200_000;

  private final OpenJob job =
      new OpenJob(new TraceLine("n0", ARRIVAL, "arrival", Map.of("id", "x")), OBJECTIVE);

  @Test
  void aSuccessIsLateOnlyAfterTheObjective() {
    assertEquals(JobEnd.SERVED, job.successAt(ARRIVAL + OBJECTIVE));
    assertEquals(JobEnd.LATE, job.successAt(ARRIVAL + OBJECTIVE + 1));
  }

  @Test
  void aRejectionWithoutAttemptsIsOnArrivalOrFromTheQueue() {
    assertEquals(JobEnd.REJECTED_ON_ARRIVAL, job.rejectionAt(ARRIVAL));
    assertEquals(JobEnd.REJECTED_WHILE_QUEUED, job.rejectionAt(ARRIVAL + 1));
  }

  @Test
  void aRejectionAfterAnAttemptHasItsOwnEnd() {
    job.attemptStarted("w1");
    assertEquals(JobEnd.REJECTED_AFTER_ATTEMPT, job.rejectionAt(ARRIVAL));
  }
}
