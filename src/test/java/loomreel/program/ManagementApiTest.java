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

/** The management API: statistics, client drains, and workers that operators disable. */
@Timeout(120)
class ManagementApiTest {
  @Test
  void eachResponseIsCountedOnceUnderItsClass() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.managed(2)) {
      assertEquals(200, program.callManagement(0, "GET", "readiness", "").status());
      assertEquals(0, program.statistic(0, "failure.issue"), "a count of 0 is there as well");

      succeedAtSecondAttempt(program);
      SubmittedJob failing = program.submit("/issue", "");
      nextJob(program).respond(500, "");
      assertEquals(500, failing.response().status());
      SubmittedJob late = program.submit(program.connect(), "/copy", 1, "");
      assertEquals(503, late.response().status());
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

  private static void succeedAtSecondAttempt(DispatcherProcess program) throws Exception {
    SubmittedJob job = program.submit("/copy", "");
    HttpMessage post = nextJob(program);
    assertEquals(1, program.statistic(0, "inflight"));
    assertEquals(1, program.statistic(0, "backend_calls"));
    post.connection().close();
    nextJob(program).respond(202, "");
    program.reportDone(job.id(), "w0", "r");
    program.reportDone(job.id(), "w1", "r");
    assertEquals(200, job.response().status());
  }

  private static HttpMessage nextJob(DispatcherProcess program) throws Exception {
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

  @Test
  void operatorsAreServedBesideSilentConnections() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.managed(1)) {
      List<Socket> silent = new ArrayList<>();

      for (int i = 0; i < 40; i++) {
        silent.add(HttpIo.connect(program.managementPort(0)));
        HttpIo.write(silent.get(i), i % 2 == 0 ? "" : "GET /ops/sta");
        assertEquals(200, program.callManagement(0, "GET", "readiness", "").status());
      }

      assertTrue(silent.get(0).getInputStream().read() < 0, "the oldest one is closed");
    }
  }

  /** Workers are served throughout a drain. */
  @Test
  void aClientDrainClosesClientConnectionsUntilItIsStopped() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.managed(1);
        Socket workerConnection = program.connect()) {
      SubmittedJob idle = program.submit("/copy", "");
      program.serveNextJob(0, "before");
      assertEquals("before", idle.response().body());
      SubmittedJob inFlight = program.submit("/copy", "");
      program.worker(0).nextRequest().respond(202, "");
      reportOn(workerConnection, inFlight.id(), "running");

      assertEquals(200, program.startClientDrain(0));

      assertEquals(503, program.readinessStatus());
      assertNull(HttpIo.read(idle.connection()), "idle connections are closed");
      assertEquals(503, program.submit("/copy", "").response().status(), "new jobs are rejected");
      reportOn(workerConnection, inFlight.id(), "done");
      HttpMessage response = inFlight.response();
      assertEquals("r", response.body());
      assertEquals("close", response.header("Connection"));
      assertEquals(200, program.callManagement(0, "GET", "readiness", "").status());

      assertEquals(200, program.stopClientDrain(0));

      assertEquals(200, program.readinessStatus());
      SubmittedJob after = program.submit("/copy", "");
      program.serveNextJob(0, "after");
      assertNull(after.response().header("Connection"));
    }
  }

  /** Sends a status update on a connection that stays open. */
  private static void reportOn(Socket connection, String id, String state) throws IOException {
    String update = DispatcherHarness.statusUpdate(id, "w0", state, DispatcherHarness.result("r"));
    HttpIo.write(connection, HttpIo.withBody(DispatcherHarness.STATUS_UPDATE_HEAD, update));
    HttpMessage response = HttpIo.read(connection);
    assertEquals(200, response.status());
    assertNull(response.header("Connection"), "connections of workers stay open");
  }

  /** It may be removed from the endpoint list, return, and be enabled again. */
  @Test
  void aDisabledWorkerGetsNoJobsWhateverTheEndpointListSays() throws Exception {
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
      // It warms up, but may have one job at once.
      program.assertAllServedBy(0, 1);
    }
  }
}
