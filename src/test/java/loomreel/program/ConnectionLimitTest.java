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
  private static DispatcherProcess startWithDescriptorLimit(int maxDescriptors) throws IOException {
    return new DispatcherProcess(1, new TestConfiguration().descriptorLimit(maxDescriptors));
  }

  /**
   * A job that a worker has accepted can complete only with a status update. The dispatcher
   * therefore keeps descriptors free for the connections on which workers send status updates. A
   * descriptor limit of 52 permits 11 jobs at a time.
   */
  @Test
  void statusUpdatesAreAcceptedWhenClientsHaveReachedTheJobLimit() throws Exception {
    try (DispatcherProcess program = startWithDescriptorLimit(52)) {
      List<SubmittedJob> jobs = new ArrayList<>();
      for (int i = 0; i < 11; i++) {
        jobs.add(program.submit("/copy", ""));
      }
      // The dispatcher may read the jobs in any order. When it has answered this later request, it
      // has read all of them.
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

  /**
   * A descriptor limit of 64 permits 24 client connections. The test opens 60 connections. On half
   * of them it sends nothing, and on the others only the start of a job. The dispatcher closes
   * these connections, but not the connection on which it has received a complete job before.
   */
  @Test
  void connectionsWithoutACompleteRequestDoNotEvictAClientThatSentAJob() throws Exception {
    try (DispatcherProcess program = startWithDescriptorLimit(64)) {
      SubmittedJob first = program.submit("/copy", "");
      program.serveNextJob(0, "first");
      assertEquals("first", first.response().body());

      List<Socket> incompleteConnections = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        incompleteConnections.add(program.connect());
        HttpIo.write(incompleteConnections.get(i), i % 2 == 0 ? "" : "POST /copy HTTP/1.1\r\nX-");
      }

      SubmittedJob second = program.submit(first.connection(), "/copy", 20_000, "");
      program.serveNextJob(0, "second");
      assertEquals("second", second.response().body());
      for (Socket socket : incompleteConnections) {
        assertTrue(isClosedOrTimedOut(socket), "must be closed, with or without a 408");
      }
    }
  }

  /**
   * Waits until the dispatcher closes the connection, resets it or sends a response. Returns true
   * unless there is a response with another status than 408 (request timeout). Then closes the
   * client's side of the connection.
   */
  private static boolean isClosedOrTimedOut(Socket socket) throws IOException {
    try (socket) {
      HttpMessage response = HttpIo.read(socket);
      return response == null || response.status() == 408;
    } catch (SocketException reset) {
      return true;
    }
  }

  /**
   * A descriptor limit of 64 permits 8 idle connections. The test leaves 10 connections idle, so
   * the dispatcher closes the two that have been idle longest.
   */
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

  /**
   * After each response with a 4xx status, the dispatcher waits for 0.1 s before it processes the
   * next request of the connection.
   */
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
