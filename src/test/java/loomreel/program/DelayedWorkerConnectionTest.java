package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import loomreel.program.StepControlledServer.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A connection to a copy worker that comes up late, when what was to go out on it may not go any
 * more.
 */
@Timeout(120)
class DelayedWorkerConnectionTest {
  private static String lateConnections(String settings) {
    return settings.replace("\"ConnectTimeoutS\":5", "\"ConnectTimeoutS\":25");
  }

  /**
   * The time to send to what drains runs from the news on; a connection that is still coming up may
   * outlast it.
   */
  @ParameterizedTest
  @ValueSource(strings = {"DRAINING", "DELETED", "missing"})
  void whatHasNotLeftForADrainingCopyWorkerGoesElsewhere(String how) throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(
                2,
                c -> lateConnections(c).replaceFirst("SERVING(.*?)SERVING", "SERVING$1DRAINING"));
        StalledListener late = server.workers.get(0).stall()) {
      SubmittedJob job = server.submit("/issue", "");
      assertEquals("w0", server.awaitStep(Step.ATTEMPT_STARTED).field("worker"));
      String list =
          server.endpointList(
              43, how.equals("missing"), how.equals("missing") ? "SERVING" : how, "SERVING");
      server
          .discovery
          .nextRequest()
          .respond(
              200,
              how.equals("missing") ? list.replaceFirst("\\{\"host\":\"w0\".*?\\},", "") : list);
      assertEquals(
          "MOOT", server.awaitStep(Step.ATTEMPT_ENDED).field("outcome").toString(), "it never ran");
      server.serveNextJob(1, "elsewhere");
      assertEquals("elsewhere", job.response().body());
      assertNull(late.nextConnection(100), "nothing is on its way there any more");
    }
  }

  /** An operator has taken it out of use, for a repair perhaps. */
  @Test
  void whatHasNotLeftForACopyWorkerThatIsTakenDownGoesElsewhere() throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(
                2,
                c -> lateConnections(c).replaceFirst("SERVING(.*?)SERVING", "SERVING$1DRAINING"));
        StalledListener late = server.workers.get(0).stall()) {
      SubmittedJob job = server.submit("/issue", "");
      assertEquals("w0", server.awaitStep(Step.ATTEMPT_STARTED).field("worker"));
      server
          .discovery
          .nextRequest()
          .respond(200, server.endpointList(43, false, "SERVING", "SERVING"));
      server.discovery.nextRequest();
      server.disableWorker("w0");
      server.serveNextJob(1, "elsewhere");
      assertEquals("elsewhere", job.response().body());
      assertNull(late.nextConnection(100), "nothing is on its way there any more");
    }
  }

  /**
   * Copy workers tell a repeat by its key for 0.8 s here, and the client waits for 20: the repeat
   * is sent in that time or never, and the client hears at once that it is over.
   */
  @Test
  void aRepeatThatCannotLeaveWhileItIsToldDoesNotLeave() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(
            2,
            c ->
                lateConnections(ServeTest.keyedClass(c))
                    .replace("\"WindowS\":15", "\"WindowS\":0.8"))) {
      SubmittedJob job = server.submitWithKey("/hold/1", "a-key");
      StepControlledServer.ReachedStep first = server.awaitStep(Step.ATTEMPT_STARTED);
      int at = first.field("worker").equals("w0") ? 0 : 1;
      HttpMessage post = server.workers.get(at).nextRequest();
      assertEquals("a-key", post.header("Idempotency-Key"));
      try (StalledListener late = server.workers.get(1 - at).stall()) {
        post.connection().close();
        assertEquals("w" + (1 - at), server.awaitStep(Step.ATTEMPT_STARTED).field("worker"));
        assertEquals(
            "CONNECT_FAILED",
            server.awaitStep(Step.ATTEMPT_ENDED).field("outcome").toString(),
            "it never ran");
        server.awaitStep(Step.JOB_FAILED);
        assertEquals(500, job.response().status());
        assertNull(late.nextConnection(100), "nothing is on its way there any more");
      }
    }
  }
}
