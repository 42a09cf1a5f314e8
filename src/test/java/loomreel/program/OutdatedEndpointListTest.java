package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.EndpointList;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.program.harness.EndpointList.Health;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A process whose configuration lists a worker that was drained or removed long ago: it must send
 * that worker nothing, however discovery responds to its first calls.
 */
@Timeout(120)
class OutdatedEndpointListTest {
  private static final int JOBS = 8;
  private static final int LATE_RESPONSE_MILLIS = 1000;
  private static final int SHORT_DEADLINE_MILLIS = 300;
  private static final int PIECE_BYTES = 40;

  /** How discovery treats the first calls of a process that starts. */
  private enum FirstResponse {
    DRAINING,
    REMOVED,
    LATE,
    IN_PIECES,
    UNAVAILABLE_FIRST,
    RESET_FIRST,
    SILENT_FIRST
  }

  private static DispatcherProcess start() throws IOException {
    return new DispatcherProcess(2, new TestConfiguration().knownListUnconfirmed());
  }

  private static List<SubmittedJob> submitJobs(DispatcherProcess program) throws IOException {
    List<SubmittedJob> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      jobs.add(program.submit("/copy/" + i, ""));
    }
    return jobs;
  }

  @ParameterizedTest
  @EnumSource
  void noJobIsSentByAListOfUnknownAge(FirstResponse response) throws Exception {
    try (DispatcherProcess program = start()) {
      HttpMessage call = program.discovery().nextRequest();
      assertTrue(call.startLine().contains("?from=41&"), call.startLine());
      final List<SubmittedJob> jobs = submitJobs(program);
      EndpointList current =
          response == FirstResponse.REMOVED
              ? program.endpointList(43, Extent.CHANGES, Health.DELETED, Health.SERVING)
              : program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING);

      respond(program, call, current, response);

      for (int i = 0; i < JOBS; i++) {
        program.serveNextJob(1, "served");
      }
      for (SubmittedJob job : jobs) {
        assertEquals("served", job.response().body());
      }
      assertFalse(program.worker(0).hasPendingRequest());
    }
  }

  private static void respond(
      DispatcherProcess program, HttpMessage call, EndpointList list, FirstResponse response)
      throws Exception {
    switch (response) {
      case DRAINING, REMOVED -> list.respondTo(call);
      case LATE -> {
        Thread.sleep(LATE_RESPONSE_MILLIS);
        list.respondTo(call);
      }
      case IN_PIECES -> respondInPieces(call, list);
      case UNAVAILABLE_FIRST -> {
        call.respond(503, "");
        list.respondTo(program.discovery().nextRequest());
      }
      case RESET_FIRST -> {
        call.connection().setSoLinger(true, 0);
        call.connection().close();
        list.respondTo(program.discovery().nextRequest());
      }
      case SILENT_FIRST -> list.respondTo(program.discovery().nextRequest());
    }
  }

  private static void respondInPieces(HttpMessage call, EndpointList list) throws Exception {
    String response = HttpIo.withBody("HTTP/1.1 200 x\r\n", list.toJson());
    for (int from = 0; from < response.length(); from += PIECE_BYTES) {
      HttpIo.write(
          call.connection(),
          response.substring(from, Math.min(response.length(), from + PIECE_BYTES)));
      Thread.sleep(10);
    }
  }

  /** Discovery that is down for long must not keep the process from serving. */
  @Test
  void silentDiscoveryDelaysTheStartForALimitedTime() throws Exception {
    try (DispatcherProcess program = start()) {
      program.discovery().nextRequest();
      SubmittedJob job = program.submit("/copy", "");

      String logged = program.awaitLog("discovery silent");

      assertTrue(logged.contains("last known endpoint list"));
      int worker = program.awaitWorkerWithRequest();
      program.serveNextJob(worker, "held");
      assertEquals("held", job.response().body());
    }
  }

  /** Two failed calls: discovery is down, not only overloaded. */
  @Test
  void unavailableDiscoveryDelaysTheStartForTwoCalls() throws Exception {
    try (DispatcherProcess program = start()) {
      program.discovery().nextRequest().respond(503, "");
      SubmittedJob job = program.submit("/copy", "");
      program.discovery().nextRequest().respond(503, "");

      program.awaitLog("discovery unavailable, serving the last known endpoint list");

      program.serveNextJob(program.awaitWorkerWithRequest(), "held");
      assertEquals("held", job.response().body());
    }
  }

  /** Clients that do not wait for the process to be ready get their answer in time. */
  @Test
  void aJobThatCannotWaitForTheListIsRejected() throws Exception {
    try (DispatcherProcess program = start()) {
      program.discovery().nextRequest();

      SubmittedJob job = program.submit(program.connect(), "/copy", SHORT_DEADLINE_MILLIS, "");

      assertEquals(503, job.response().status());
      assertEquals(503, program.readinessStatus());
      assertFalse(program.worker(0).hasPendingRequest() || program.worker(1).hasPendingRequest());
    }
  }
}
