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

/** SIGTERM without a successor: no job that was accepted is lost. */
@Timeout(120)
class GracefulShutdownTest {
  /**
   * Clients use their connections for a grace period, jobs that were accepted are served, and those
   * that are not done in time fail before the process ends.
   */
  @Test
  void acceptedJobsAreServedBeforeTheProcessEnds() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob before = program.submit("/copy", "");
      program.serveNextJob(0, "first");
      assertEquals("first", before.response().body());

      program.process().toHandle().destroy();
      program.awaitLog("graceful shutdown started successor=false");

      SubmittedJob onOldConnection = program.submit(before.connection(), "/copy", 20_000, "");
      program.serveNextJob(0, "second");
      HttpMessage response = onOldConnection.response();
      assertEquals("second", response.body());
      assertNull(response.header("Connection"));
      SubmittedJob onNewConnection = program.submit("/copy", "");
      program.serveNextJob(0, "third");
      assertEquals("third", onNewConnection.response().body());
      SubmittedJob endless = program.submit(onOldConnection.connection(), "/issue", 20_000, "");
      program.worker(0).nextRequest().respond(202, "");
      assertEquals(500, endless.response().status());
      assertNull(HttpIo.read(endless.connection()));
      assertTrue(program.process().waitFor(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  /** A pipelined request was read with the one before it, and counts as accepted. */
  @Test
  void pipelinedRequestsAreAnsweredBeforeTheConnectionIsClosed() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket pipelining = program.connect()) {
      SubmittedJob idle = program.submit("/copy", "");
      program.serveNextJob(0, "idle");
      assertEquals("idle", idle.response().body());
      SubmittedJob first = program.submit(pipelining, "/copy/1", 20_000, "");
      SubmittedJob second = program.submit(pipelining, "/copy/2", 20_000, "");
      program.worker(0).nextRequest().respond(202, "");

      program.process().toHandle().destroy();
      assertNull(HttpIo.read(idle.connection()), "connections are closed from now on");

      program.reportDone(first.id(), "w0", "1");
      HttpMessage firstResponse = HttpIo.read(pipelining);
      assertEquals("1", firstResponse.body());
      assertNull(firstResponse.header("Connection"));
      assertEquals("POST /copy/2 HTTP/1.1", program.worker(0).nextRequest().startLine());
      program.reportDone(second.id(), "w0", "2");
      HttpMessage secondResponse = HttpIo.read(pipelining);
      assertEquals("2", secondResponse.body());
      assertEquals("close", secondResponse.header("Connection"));
      assertTrue(program.process().waitFor(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }
}
