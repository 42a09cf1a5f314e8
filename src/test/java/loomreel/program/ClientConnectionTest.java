package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.Socket;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.SubmittedJob;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests two kinds of client connections: those that the client closes before it has received a
 * response, and those on which the client sends pipelined requests.
 */
@Timeout(120)
class ClientConnectionTest {
  @Test
  void theRunningJobOfADisconnectedClientIsCancelledAtItsWorker() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob job = program.submit("/copy", "");
      program.worker(0).nextRequest().respond(202, "");
      // The dispatcher reads the 202 before it answers the status update. So it knows that the
      // worker has accepted the job before the client disconnects.
      program.reportStatus(job.id(), "w0", "running", ",\"share\":0.1");

      job.connection().close();

      assertEquals(
          "DELETE /jobs/" + job.id() + " HTTP/1.1", program.worker(0).nextRequest().startLine());
    }
  }

  @Test
  void pipelinedRequestsAreForwardedAndAnsweredOneAtATimeInOrder() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket client = program.connect()) {
      String[] ids = new String[3];
      for (int i = 0; i < ids.length; i++) {
        ids[i] = program.submit(client, "/copy/" + i, 20_000, "").id();
      }

      for (int i = 0; i < ids.length; i++) {
        HttpMessage post = program.worker(0).nextRequest();
        assertEquals("POST /copy/" + i + " HTTP/1.1", post.startLine());
        assertFalse(program.worker(0).hasPendingRequest());
        post.respond(202, "");
        program.reportDone(ids[i], "w0", "r" + i);
        assertEquals("r" + i, HttpIo.read(client).body());
      }
    }
  }
}
