package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients at the limit of descriptors, or beyond what is fair to the others. */
@Timeout(120)
class ConnectionLimitTest {
  private static DispatcherProcess withDescriptorLimit(int descriptors) throws IOException {
    return new DispatcherProcess(1, new TestConfiguration().descriptorLimit(descriptors));
  }

  /** Without status updates no job would end. */
  @Test
  void clientsAtTheLimitDoNotKeepStatusUpdatesOut() throws Exception {
    try (DispatcherProcess program = withDescriptorLimit(52)) {
      List<SubmittedJob> jobs = new ArrayList<>();
      for (int i = 0; i < 11; i++) {
        jobs.add(program.submit("/copy", ""));
      }
      // Once a later request is answered, all of these have been read, in whatever order.
      assertEquals(200, program.request("GET /health/ready HTTP/1.1\r\n", "").status());

      assertEquals(503, program.submit("/copy", "").response().status(), "beyond the limit");

      for (int i = 0; i < jobs.size(); i++) {
        program.serveNextJob(0, "served");
      }
      for (SubmittedJob job : jobs) {
        assertEquals(200, program.reportDone(job.id(), "w0", "served"));
      }
      for (SubmittedJob job : jobs) {
        assertEquals("served", job.response().body());
      }
    }
  }

  @Test
  void connectionsWithoutACompleteRequestDoNotEvictClientsWithJobs() throws Exception {
    try (DispatcherProcess program = withDescriptorLimit(64)) {
      SubmittedJob first = program.submit("/copy", "");
      program.serveNextJob(0, "first");
      assertEquals("first", first.response().body());

      List<Socket> silent = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        silent.add(program.connect());
        HttpIo.write(silent.get(i), i % 2 == 0 ? "" : "POST /copy HTTP/1.1\r\nX-");
      }

      SubmittedJob second = program.submit(first.connection(), "/copy", 20_000, "");
      program.serveNextJob(0, "second");
      assertEquals("second", second.response().body());
      for (Socket socket : silent) {
        assertTrue(isClosedOrTimedOut(socket), "it is closed, with or without a 408");
      }
    }
  }

  private static boolean isClosedOrTimedOut(Socket socket) throws IOException {
    try (socket) {
      HttpMessage response = HttpIo.read(socket);
      return response == null || response.status() == 408;
    } catch (SocketException reset) {
      return true;
    }
  }

  @Test
  void theLongestIdleConnectionsAreClosed() throws Exception {
    try (DispatcherProcess program = withDescriptorLimit(64)) {
      List<SubmittedJob> jobs = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        jobs.add(program.submit("/copy", ""));
        program.serveNextJob(0, "served");
        assertEquals("served", jobs.get(i).response().body());
      }

      assertNull(HttpIo.read(jobs.get(0).connection()));
      assertNull(HttpIo.read(jobs.get(1).connection()));
      SubmittedJob next = program.submit(jobs.get(5).connection(), "/copy", 20_000, "");
      program.serveNextJob(0, "reused");
      assertEquals("reused", next.response().body());
    }
  }

  @Test
  void aClientThatRepeatsBadRequestsIsThrottled() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket client = program.connect()) {
      long start = System.nanoTime();

      HttpIo.write(client, "GET /nowhere HTTP/1.1\r\n\r\n".repeat(5));
      for (int i = 0; i < 5; i++) {
        assertEquals(404, HttpIo.read(client).status());
      }

      assertTrue(System.nanoTime() - start >= 400_000_000, "four pauses of 0.1 s at least");
    }
  }
}
