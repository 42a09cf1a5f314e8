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

/** Client connections that end early, or that have several requests at once. */
@Timeout(120)
class ClientConnectionTest {
  @Test
  void theJobOfADisconnectedClientIsCancelled() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob job = program.submit("/copy", "");
      program.worker(0).nextRequest().respond(202, "");
      // The response to a status update shows that the 202 has been read.
      program.reportStatus(job.id(), "w0", "running", ",\"share\":0.1");

      job.connection().close();

      assertEquals(
          "DELETE /jobs/" + job.id() + " HTTP/1.1", program.worker(0).nextRequest().startLine());
    }
  }

  @Test
  void pipelinedRequestsAreAnsweredOneByOneInTheirOrder() throws Exception {
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
