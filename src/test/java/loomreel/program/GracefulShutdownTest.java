package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.SubmittedJob;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Verifies that each accepted job gets a response before the process exits, if the process receives
 * SIGTERM and has no successor.
 */
@Timeout(120)
class GracefulShutdownTest {
  /**
   * During a grace period after SIGTERM, the dispatcher serves jobs on existing and new connections
   * as before. A job that is not done at the shutdown deadline fails with status 500. The process
   * exits after this response.
   */
  @Test
  void acceptedJobsAreServedOrFailedBeforeTheProcessExits() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob jobBeforeShutdown = program.submit("/copy", "");
      program.serveNextJob(0, "first");
      assertEquals("first", jobBeforeShutdown.response().body());

      program.process().toHandle().destroy();
      program.awaitLog("graceful shutdown started successor=false");

      SubmittedJob onOldConnection =
          program.submit(jobBeforeShutdown.connection(), "/copy", 20_000, "");
      program.serveNextJob(0, "second");
      HttpMessage response = onOldConnection.response();
      assertEquals("second", response.body());
      assertNull(response.header("Connection"));
      SubmittedJob onNewConnection = program.submit("/copy", "");
      program.serveNextJob(0, "third");
      assertEquals("third", onNewConnection.response().body());
      SubmittedJob unfinished = program.submit(onOldConnection.connection(), "/issue", 20_000, "");
      program.worker(0).nextRequest().respond(202, "");
      assertEquals(500, unfinished.response().status());
      assertNull(HttpIo.read(unfinished.connection()));
      assertTrue(program.process().waitFor(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  /**
   * The dispatcher reads a pipelined request without waiting for the response to the request before
   * it. If the dispatcher has read a pipelined request when the shutdown starts, this request
   * counts as accepted. The dispatcher closes the connection after the response to the last
   * pipelined request.
   */
  @Test
  void pipelinedRequestsAreAnsweredBeforeTheConnectionIsClosed() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket pipelinedConnection = program.connect()) {
      SubmittedJob idle = program.submit("/copy", "");
      program.serveNextJob(0, "idle");
      assertEquals("idle", idle.response().body());
      SubmittedJob first = program.submit(pipelinedConnection, "/copy/1", 20_000, "");
      SubmittedJob second = program.submit(pipelinedConnection, "/copy/2", 20_000, "");
      program.worker(0).nextRequest().respond(202, "");

      program.process().toHandle().destroy();
      assertNull(
          HttpIo.read(idle.connection()), "idle connections must be closed after the grace period");

      program.reportDone(first.id(), "w0", "1");
      HttpMessage firstResponse = HttpIo.read(pipelinedConnection);
      assertEquals("1", firstResponse.body());
      assertNull(firstResponse.header("Connection"));
      assertEquals("POST /copy/2 HTTP/1.1", program.worker(0).nextRequest().startLine());
      program.reportDone(second.id(), "w0", "2");
      HttpMessage secondResponse = HttpIo.read(pipelinedConnection);
      assertEquals("2", secondResponse.body());
      assertEquals("close", secondResponse.header("Connection"));
      assertTrue(program.process().waitFor(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }
}
