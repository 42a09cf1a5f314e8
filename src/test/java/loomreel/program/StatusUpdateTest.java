package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;

import loomreel.program.harness.DispatcherHarness;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.RequestClass;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Verifies how the dispatcher handles status updates that are sent early, repeatedly, by the wrong
 * worker, or about an unknown job.
 */
@Timeout(120)
class StatusUpdateTest {
  /**
   * An update from a worker that has not received the job has no effect. An early update, which
   * arrives before the worker's response to the job, is applied. A malformed update gets a 400.
   */
  @Test
  void aStatusUpdateIsAppliedOnceAndAlwaysAnswered() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob firstJob = program.submit("/copy", "");
      HttpMessage firstPost = program.worker(0).nextRequest();

      assertEquals(200, program.reportDone(firstJob.id(), "w7", "not from there"));
      assertEquals(200, program.reportDone(firstJob.id(), "w0", "early"));
      assertEquals("early", firstJob.response().body());
      firstPost.respond(202, "");
      assertEquals(200, program.reportDone(firstJob.id(), "w0", "again"));
      assertEquals(200, program.reportStatus("00000000000000ff", "w0", "failed", ""));
      assertEquals(400, program.request(DispatcherHarness.STATUS_UPDATE_HEAD, "[1").status());

      SubmittedJob secondJob = program.submit(firstJob.connection(), "/copy", 20_000, "");
      HttpMessage secondPost = program.worker(0).nextRequest();
      assertSame(
          firstPost.connection(),
          secondPost.connection(),
          "the dispatcher reuses the connection to the worker");
      secondPost.respond(202, "");
      program.reportDone(secondJob.id(), "w0", "second");
      assertEquals("second", secondJob.response().body());
    }
  }

  /**
   * The state {@code returned} says that the worker has not started the job. A worker may repeat a
   * status update. If a job is retried at the worker that returned it, a second update with this
   * state may be a repetition for the first attempt. So the second update does not prove that the
   * second attempt has not run.
   */
  @Test
  void aNonIdempotentJobThatOneWorkerReturnsTwiceFails() throws Exception {
    // The latency objective is short, so that the only worker soon gets a second attempt after it
    // has returned the first one.
    TestConfiguration configuration =
        new TestConfiguration()
            .requestClasses(
                RequestClass.copy().withLatencyObjective(0.1, 1000),
                RequestClass.issue().withLatencyObjective(0.1, 1000));
    try (DispatcherProcess program = new DispatcherProcess(1, configuration)) {
      SubmittedJob job = program.submit("/issue", "");

      for (int i = 0; i < 2; i++) {
        program.worker(0).nextRequest().respond(202, "");
        program.reportStatus(job.id(), "w0", "returned", "");
      }

      assertEquals(500, job.response().status());
      assertFalse(program.worker(0).hasPendingRequest());
    }
  }

  /**
   * Guards against a second run of a job that its worker returns after it has reported progress.
   */
  @Test
  void aNonIdempotentJobThatIsReturnedAfterProgressFails() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob job = program.submit("/issue", "");
      program.worker(0).nextRequest().respond(202, "");

      program.reportStatus(job.id(), "w0", "running", "");
      program.reportStatus(job.id(), "w0", "returned", "");

      assertEquals(500, job.response().status());
      assertFalse(program.worker(0).hasPendingRequest());
    }
  }
}
