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

/** Status updates of workers: early, repeated, from another worker, or of an unknown job. */
@Timeout(120)
class StatusUpdateTest {
  @Test
  void aStatusUpdateIsActedOnOnceAndAlwaysAnswered() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob first = program.submit("/copy", "");
      HttpMessage post = program.worker(0).nextRequest();

      assertEquals(200, program.reportDone(first.id(), "w7", "not from there"));
      assertEquals(200, program.reportDone(first.id(), "w0", "early"));
      assertEquals("early", first.response().body());
      post.respond(202, "");
      assertEquals(200, program.reportDone(first.id(), "w0", "again"));
      assertEquals(200, program.reportStatus("00000000000000ff", "w0", "failed", ""));
      assertEquals(400, program.request(DispatcherHarness.STATUS_UPDATE_HEAD, "[1").status());

      SubmittedJob second = program.submit(first.connection(), "/copy", 20_000, "");
      HttpMessage next = program.worker(0).nextRequest();
      assertSame(post.connection(), next.connection(), "the connection is used again");
      next.respond(202, "");
      program.reportDone(second.id(), "w0", "second");
      assertEquals("second", second.response().body());
    }
  }

  /** Workers may repeat a status update: the second one may be of the first attempt. */
  @Test
  void aSecondReturnByOneWorkerIsNoProofThatTheJobHasNotRun() throws Exception {
    // A short latency objective: the worker that returned the job gets another attempt soon.
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
}
