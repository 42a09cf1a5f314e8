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

/**
 * Tests the limits on client connections: the descriptor limit, the limit on idle connections, and
 * the pause after each rejected request.
 */
@Timeout(120)
class ConnectionLimitTest {
  private static DispatcherProcess startWithDescriptorLimit(int maxDescriptors)
      throws IOException {
    return new DispatcherProcess(1, new TestConfiguration().descriptorLimit(maxDescriptors));
  }

  /**
   * The dispatcher keeps descriptors free for status updates, because no job ends without a status
   * update. A descriptor limit of 52 permits 11 jobs at a time.
   */
  @Test
  void statusUpdatesAreAcceptedWhenClientsHaveReachedTheJobLimit() throws Exception {
    try (DispatcherProcess program = startWithDescriptorLimit(52)) {
      List<SubmittedJob> jobs = new ArrayList<>();
      for (int i = 0; i < 11; i++) {
        jobs.add(program.submit("/copy", ""));
      }
      // When this later request is answered, the dispatcher has read all the jobs, in any order.
      assertEquals(200, program.request("GET /health/ready HTTP/1.1\r\n", "").status());

      assertEquals(503, program.submit("/copy", "").response().status(), "job beyond the limit");

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
  void connectionsWithoutACompleteRequestDoNotEvictAClientThatSentAJob() throws Exception {
    try (DispatcherProcess program = startWithDescriptorLimit(64)) {
      SubmittedJob first = program.submit("/copy", "");
      program.serveNextJob(0, "first");
      assertEquals("first", first.response().body());

      List<Socket> unprovenConnections = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        unprovenConnections.add(program.connect());
        HttpIo.write(unprovenConnections.get(i), i % 2 == 0 ? "" : "POST /copy HTTP/1.1\r\nX-");
      }

      SubmittedJob second = program.submit(first.connection(), "/copy", 20_000, "");
      program.serveNextJob(0, "second");
      assertEquals("second", second.response().body());
      for (Socket socket : unprovenConnections) {
        assertTrue(isClosedOrTimedOut(socket), "must be closed, with or without a 408");
      }
    }
  }

  /**
   * Closes a client connection and returns whether the dispatcher had closed or reset it, or
   * answered with 408 (request timeout).
   */
  private static boolean isClosedOrTimedOut(Socket socket) throws IOException {
    try (socket) {
      HttpMessage response = HttpIo.read(socket);
      return response == null || response.status() == 408;
    } catch (SocketException reset) {
      return true;
    }
  }

  /** A descriptor limit of 64 permits 8 idle connections, and the test leaves 10 idle. */
  @Test
  void theLongestIdleConnectionsAreClosedBeyondTheIdleLimit() throws Exception {
    try (DispatcherProcess program = startWithDescriptorLimit(64)) {
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
  void aClientThatRepeatsRejectedRequestsIsThrottled() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket client = program.connect()) {
      long startNanos = System.nanoTime();

      HttpIo.write(client, "GET /nowhere HTTP/1.1\r\n\r\n".repeat(5));
      for (int i = 0; i < 5; i++) {
        assertEquals(404, HttpIo.read(client).status());
      }

      assertTrue(
          System.nanoTime() - startNanos >= 400_000_000, "expected at least four pauses of 0.1 s");
    }
  }
}
