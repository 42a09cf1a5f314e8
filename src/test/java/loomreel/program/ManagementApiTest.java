package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import loomreel.program.harness.DispatcherHarness;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.program.harness.EndpointList.Health;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.SubmittedJob;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Verifies the management API, with which operators read statistics, drain clients and disable
 * workers. A client drain begins with a notice period. After this period, the dispatcher rejects
 * new jobs and closes client connections until an operator stops the drain.
 */
@Timeout(120)
class ManagementApiTest {
  /** In this test, a 200 response counts as success, a 503 as busy, and a 500 as failure. */
  @Test
  void eachResponseIsCountedOnceForItsRequestClass() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.managed(2)) {
      assertEquals(200, program.callManagement(0, "GET", "readiness", "").status());
      assertEquals(
          0, program.statistic(0, "failure.issue"), "the statistics also list counters that are 0");

      serveJobAtSecondAttempt(program);
      SubmittedJob failing = program.submit("/issue", "");
      awaitJobRequest(program).respond(500, "");
      assertEquals(500, failing.response().status());
      SubmittedJob expiringJob = program.submit(program.connect(), "/copy", 1, "");
      assertEquals(503, expiringJob.response().status());
      program.reload("{");
      program.awaitLog("configuration reload rejected");

      assertEquals(1, program.statistic(0, "success.copy"));
      assertEquals(0, program.statistic(0, "success.issue"));
      assertEquals(1, program.statistic(0, "busy.copy"));
      assertEquals(0, program.statistic(0, "busy.issue"));
      assertEquals(0, program.statistic(0, "failure.copy"));
      assertEquals(1, program.statistic(0, "failure.issue"));
      assertEquals(3, program.statistic(0, "backend_calls"));
      assertEquals(0, program.statistic(0, "inflight"));
      assertEquals(2, program.statistic(0, "hosts_listed"));
      assertEquals(0, program.statistic(0, "reconfig_ok"));
      assertEquals(1, program.statistic(0, "reconfig_failed"));
    }
  }

  /**
   * Submits a job, closes the connection of the first attempt, and completes the job in the second
   * attempt.
   */
  private static void serveJobAtSecondAttempt(DispatcherProcess program) throws Exception {
    SubmittedJob job = program.submit("/copy", "");
    HttpMessage post = awaitJobRequest(program);
    assertEquals(1, program.statistic(0, "inflight"));
    assertEquals(1, program.statistic(0, "backend_calls"));
    post.connection().close();
    awaitJobRequest(program).respond(202, "");
    // Either worker may have received the second attempt, so both report the result. The status
    // update of the worker without this attempt has no effect.
    program.reportDone(job.id(), "w0", "r");
    program.reportDone(job.id(), "w1", "r");
    assertEquals(200, job.response().status());
  }

  /** Waits until a worker has received a request, and takes the request out of its queue. */
  private static HttpMessage awaitJobRequest(DispatcherProcess program) throws Exception {
    return program.worker(program.awaitWorkerWithRequest()).nextRequest();
  }

  @Test
  void unknownPathsAndWrongMethodsAreRejected() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.managed(1)) {
      assertEquals(404, program.callManagement(0, "GET", "nothing", "").status());
      assertEquals(405, program.callManagement(0, "GET", "drain/start", "").status());
      assertEquals(405, program.callManagement(0, "POST", "stats", "").status());
    }
  }

  /**
   * Each silent connection has sent either nothing or only the beginning of a request. If too many
   * connections are open, the dispatcher closes the oldest one.
   */
  @Test
  void operatorsAreServedWhileOtherConnectionsAreSilent() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.managed(1)) {
      List<Socket> silentConnections = new ArrayList<>();

      for (int i = 0; i < 40; i++) {
        silentConnections.add(HttpIo.connect(program.managementPort(0)));
        HttpIo.write(silentConnections.get(i), i % 2 == 0 ? "" : "GET /ops/sta");
        assertEquals(200, program.callManagement(0, "GET", "readiness", "").status());
      }

      assertTrue(
          silentConnections.get(0).getInputStream().read() < 0,
          "the oldest silent connection is closed");
    }
  }

  /** The dispatcher answers status updates of workers throughout a client drain. */
  @Test
  void aClientDrainClosesClientConnectionsUntilItIsStopped() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.managed(1);
        Socket workerConnection = program.connect()) {
      SubmittedJob completedJob = program.submit("/copy", "");
      program.serveNextJob(0, "before");
      assertEquals("before", completedJob.response().body());
      SubmittedJob inFlightJob = program.submit("/copy", "");
      program.worker(0).nextRequest().respond(202, "");
      sendUpdate(workerConnection, inFlightJob.id(), "running");

      assertEquals(200, program.startClientDrain(0));

      assertEquals(503, program.readinessStatus());
      assertNull(HttpIo.read(completedJob.connection()), "idle connections are closed");
      assertEquals(503, program.submit("/copy", "").response().status(), "new jobs are rejected");
      sendUpdate(workerConnection, inFlightJob.id(), "done");
      HttpMessage response = inFlightJob.response();
      assertEquals("r", response.body());
      assertEquals("close", response.header("Connection"));
      assertEquals(200, program.callManagement(0, "GET", "readiness", "").status());

      assertEquals(200, program.stopClientDrain(0));

      assertEquals(200, program.readinessStatus());
      SubmittedJob jobAfterDrain = program.submit("/copy", "");
      program.serveNextJob(0, "after");
      assertNull(jobAfterDrain.response().header("Connection"));
    }
  }

  /** Sends a status update, and checks that the response does not close the connection. */
  private static void sendUpdate(Socket connection, String id, String state) throws IOException {
    String update = DispatcherHarness.statusUpdate(id, "w0", state, DispatcherHarness.result("r"));
    HttpIo.write(connection, HttpIo.withBody(DispatcherHarness.STATUS_UPDATE_HEAD, update));
    HttpMessage response = HttpIo.read(connection);
    assertEquals(200, response.status());
    assertNull(response.header("Connection"), "connections of workers stay open");
  }

  /**
   * The endpoint list removes the disabled worker and later adds the worker again. The worker stays
   * disabled and gets no jobs until an operator enables it.
   */
  @Test
  void aDisabledWorkerGetsNoJobsUntilItIsEnabled() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.managed(2)) {
      assertEquals(404, program.disableWorker(0, "w2"));
      assertEquals(404, program.enableWorker(0, ""));
      assertEquals(200, program.disableWorker(0, "w0"));
      assertEquals(200, program.disableWorker(0, "w0"));
      assertEquals(1, program.statistic(0, "hosts_down"));

      program
          .endpointList(43, Extent.CHANGES, Health.DELETED, Health.SERVING)
          .respondTo(program.discovery().nextRequest());
      program
          .endpointList(44, Extent.CHANGES, Health.SERVING)
          .respondTo(program.discovery().nextRequest());
      program.discovery().nextRequest();
      program.assertAllServedBy(1, 8);

      assertEquals(200, program.enableWorker(0, "w0"));
      assertEquals(0, program.statistic(0, "hosts_down"));
      assertEquals(200, program.disableWorker(0, "w1"));
      // Worker w0 is in slow start. This limits how many jobs w0 gets, but allows a single job.
      program.assertAllServedBy(0, 1);
    }
  }
}
