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
 * Verifies the start of a process whose configuration contains an outdated endpoint list. The list
 * still contains worker w0 as serving, although w0 was drained or removed long ago. If discovery
 * returns the current list, the process must send no job to w0, even if the first call to discovery
 * fails or is answered late. If discovery stays unavailable, the process uses the outdated list,
 * because it is the last list that the process knows.
 */
@Timeout(120)
class OutdatedEndpointListTest {
  /** The number of jobs that are submitted before discovery responds. */
  private static final int JOB_COUNT = 8;

  /** The delay of the response for {@link FirstResponse#LATE}, in milliseconds. */
  private static final int LATE_RESPONSE_MILLIS = 1000;

  /** A deadline, in milliseconds, that passes while the process waits for an endpoint list. */
  private static final int SHORT_DEADLINE_MILLIS = 300;

  /** The size of the pieces of the response for {@link FirstResponse#IN_PIECES}, in bytes. */
  private static final int PIECE_BYTES = 40;

  /**
   * How discovery responds to the first calls of a process that starts. Worker w0 is removed in the
   * list for {@link #REMOVED} and draining in the list for all other constants.
   */
  private enum FirstResponse {
    /** A list in which w0 is draining. */
    DRAINING,
    /** A list that removes w0. */
    REMOVED,
    /** A list after a delay. */
    LATE,
    /** A list in small pieces, with a pause of 10 ms after each piece. */
    IN_PIECES,
    /** A response with status 503. The second call gets the list. */
    UNAVAILABLE_FIRST,
    /** A reset of the connection. The second call gets the list. */
    RESET_FIRST,
    /** No response. The second call gets the list. */
    SILENT_FIRST
  }

  private static DispatcherProcess start() throws IOException {
    return new DispatcherProcess(2, new TestConfiguration().knownListUnconfirmed());
  }

  private static List<SubmittedJob> submitJobs(DispatcherProcess program) throws IOException {
    List<SubmittedJob> jobs = new ArrayList<>();
    for (int i = 0; i < JOB_COUNT; i++) {
      jobs.add(program.submit("/copy/" + i, ""));
    }
    return jobs;
  }

  @ParameterizedTest
  @EnumSource
  void jobsAreSentOnlyToWorkersThatServeInTheCurrentList(FirstResponse response) throws Exception {
    try (DispatcherProcess program = start()) {
      HttpMessage call = program.discovery().nextRequest();
      assertTrue(call.startLine().contains("?from=41&"), call.startLine());
      final List<SubmittedJob> jobs = submitJobs(program);
      EndpointList current =
          response == FirstResponse.REMOVED
              ? program.endpointList(43, Extent.CHANGES, Health.DELETED, Health.SERVING)
              : program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING);

      respond(program, call, current, response);

      for (int i = 0; i < JOB_COUNT; i++) {
        program.serveNextJob(1, "served");
      }
      for (SubmittedJob job : jobs) {
        assertEquals("served", job.response().body());
      }
      assertFalse(program.worker(0).hasPendingRequest());
    }
  }

  /**
   * Responds to the first calls of the dispatcher.
   *
   * @param call the first call
   * @param list the list that is sent in response to the first or to the second call
   * @param response how discovery responds
   */
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
    for (int offset = 0; offset < response.length(); offset += PIECE_BYTES) {
      HttpIo.write(
          call.connection(),
          response.substring(offset, Math.min(response.length(), offset + PIECE_BYTES)));
      Thread.sleep(10);
    }
  }

  /**
   * The process waits for its first list at most for {@link
   * loomreel.discovery.WatchTimeouts#FIRST_LIST_TIMEOUT}. A longer outage of discovery must not
   * prevent the process from serving jobs.
   */
  @Test
  void theLastKnownListIsUsedIfDiscoveryIsSilentForTooLong() throws Exception {
    try (DispatcherProcess program = start()) {
      program.discovery().nextRequest();
      SubmittedJob job = program.submit("/copy", "");

      String logLine = program.awaitLog("discovery silent");

      assertTrue(logLine.contains("last known endpoint list"));
      int worker = program.awaitWorkerWithRequest();
      program.serveNextJob(worker, "held");
      assertEquals("held", job.response().body());
    }
  }

  /**
   * After one failed call, discovery may only be overloaded. After two failed calls, discovery
   * counts as down.
   */
  @Test
  void theLastKnownListIsUsedAfterTwoFailedCalls() throws Exception {
    try (DispatcherProcess program = start()) {
      program.discovery().nextRequest().respond(503, "");
      SubmittedJob job = program.submit("/copy", "");
      program.discovery().nextRequest().respond(503, "");

      program.awaitLog("discovery unavailable, serving the last known endpoint list");

      program.serveNextJob(program.awaitWorkerWithRequest(), "held");
      assertEquals("held", job.response().body());
    }
  }

  /**
   * While the process waits for its first list, it is not ready, and jobs wait as well. A client
   * whose job has a short deadline gets a response in time.
   */
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
