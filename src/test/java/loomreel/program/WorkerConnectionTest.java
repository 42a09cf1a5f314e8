package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Verifies how long connections to workers may be idle, and when the dispatcher reuses them. */
@Timeout(120)
class WorkerConnectionTest {
  /**
   * If a job arrived on a connection that the worker has already closed, the connection would be
   * reset. Therefore the dispatcher closes an idle connection before the worker does so. The
   * configured time is the time after which a worker closes an idle connection.
   */
  @Test
  void idleConnectionsAreClosedBeforeTheWorkerClosesThem() throws Exception {
    try (DispatcherProcess program =
        new DispatcherProcess(1, new TestConfiguration().idleConnectionSeconds(1))) {
      SubmittedJob job = program.submit("/copy", "");
      HttpMessage post = program.worker(0).nextRequest();
      post.respond(202, "");
      program.reportDone(job.id(), "w0", "r");

      assertEquals("r", job.response().body());
      program.worker(0).awaitClosed(post.connection());
    }
  }

  /**
   * A middlebox, a network device between the dispatcher and a worker, may drop an idle connection
   * before the configured idle timeout is over. The device then resets the connection when the next
   * job is sent on it. After three resets, the dispatcher shortens the idle timeout.
   */
  @Test
  void theIdleTimeoutIsShortenedAfterResetsOfReusedConnections() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob job = program.submit("/copy", "");
      program.serveNextJob(0, "first");
      assertEquals("first", job.response().body());
      for (int i = 0; i < 3; i++) {
        Thread.sleep(200);
        job = program.submit(job.connection(), "/issue", 20_000, "");
        program.worker(0).nextRequest().connection().close();
        assertEquals(500, job.response().status());
        job = program.submit(job.connection(), "/copy", 20_000, "");
        program.serveNextJob(0, "next");
        assertEquals("next", job.response().body());
      }

      Thread.sleep(400);
      program.worker(0).resetConnectionCount();
      job = program.submit(job.connection(), "/issue", 20_000, "");
      program.serveNextJob(0, "on a new connection");

      assertEquals("on a new connection", job.response().body());
      assertEquals(1, program.worker(0).connectionCount());
    }
  }

  /**
   * The worker sends two responses to one request. If the dispatcher reused the connection, it
   * would take the second response for the rejection of the next job.
   */
  @Test
  void aConnectionWithBytesAfterAResponseIsNotReused() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      for (int i = 0; i < 4; i++) {
        SubmittedJob job = program.submit("/issue", "");
        HttpMessage post = program.worker(0).nextRequest();

        HttpIo.write(
            post.connection(),
            HttpIo.withBody("HTTP/1.1 202 x\r\n", "")
                + HttpIo.withBody(HttpIo.lines("HTTP/1.1 503 x", "X-Rejected: 1"), ""));

        program.worker(0).awaitClosed(post.connection());
        program.reportDone(job.id(), "w0", "once");
        assertEquals("once", job.response().body());
      }
      assertEquals(4, program.worker(0).connectionCount());
      assertFalse(program.worker(0).hasPendingRequest());
    }
  }
}
