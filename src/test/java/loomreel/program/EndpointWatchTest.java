package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.EndpointList;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.program.harness.EndpointList.Health;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.SubmittedJob;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the watch of the endpoint list by polling: which lists the dispatcher applies, and how it
 * polls again after a failed poll.
 */
@Timeout(120)
class EndpointWatchTest {
  @Test
  void theEndpointListIsPolledForChangesAndADrainingWorkerGetsNoJobs() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      HttpMessage watch = program.discovery().nextRequest();
      assertTrue(
          watch.startLine().startsWith("GET /registry/instances?from=41&hold_ms="),
          watch.startLine());

      program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING).respondTo(watch);

      HttpMessage next = program.discovery().nextRequest();
      assertTrue(next.startLine().contains("from=43&"), next.startLine());
      assertSame(watch.connection(), next.connection());
      program.assertAllServedBy(1, 8);
    }
  }

  /** The list contains the first worker twice: first serving, then draining. */
  @Test
  void theLastOfTwoEntriesOfAWorkerInAListApplies() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      EndpointList serving =
          program.endpointList(43, Extent.COMPLETE, Health.SERVING, Health.SERVING);
      EndpointList draining =
          program.endpointList(43, Extent.COMPLETE, Health.DRAINING, Health.SERVING);

      serving.withAllOf(draining).respondTo(program.discovery().nextRequest());

      assertTrue(program.discovery().nextRequest().startLine().contains("from=43&"));
      program.assertAllServedBy(1, 8);
    }
  }

  /**
   * A list with a lower sequence number could show a draining worker as serving, so it is ignored.
   * The dispatcher then requests a complete list, which applies with any sequence number.
   */
  @Test
  void anOlderListIsIgnoredAndACompleteListIsRequested() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      program
          .endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING)
          .respondTo(program.discovery().nextRequest());

      program
          .endpointList(42, Extent.COMPLETE, Health.SERVING, Health.DRAINING)
          .respondTo(program.discovery().nextRequest());

      HttpMessage completeListRequest = program.discovery().nextRequest();
      assertTrue(
          completeListRequest.startLine().startsWith("GET /registry/instances HTTP"),
          completeListRequest.startLine());
      program.assertAllServedBy(1, 8);
      program
          .endpointList(7, Extent.COMPLETE, Health.SERVING, Health.DRAINING)
          .respondTo(completeListRequest);
      assertTrue(
          program.discovery().nextRequest().startLine().contains("from=7&"),
          "the next poll must use the sequence number of the complete list");
      SubmittedJob job = program.submit("/copy", "");
      program.serveNextJob(0, "back");
      assertEquals("back", job.response().body());
    }
  }

  /**
   * The dispatcher polls again, and uses the last list until then. The failure is a 503 response, a
   * response with an invalid list ("nonsense") or with truncated JSON ("cut"), a closed connection,
   * or no response ("silent").
   */
  @ParameterizedTest
  @ValueSource(strings = {"503", "nonsense", "cut", "closed", "silent"})
  void aFailedPollIsRepeatedAndTheLastListStaysInUse(String failure) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      HttpMessage watch = program.discovery().nextRequest();

      switch (failure) {
        case "503" -> watch.respond(503, "");
        case "silent" -> {}
        case "nonsense" -> watch.respond(200, "{\"seq\":44,\"whole\":true,\"hosts\":[{}]}");
        case "cut" -> {
          String list = program.endpointList(44, Extent.COMPLETE, Health.DRAINING).toJson();
          watch.respond(200, list.substring(0, 40));
        }
        default -> watch.connection().close();
      }

      assertTrue(program.discovery().nextRequest().startLine().contains("from=41&"));
      SubmittedJob job = program.submit("/copy", "");
      program.serveNextJob(0, "held");
      assertEquals("held", job.response().body());
    }
  }

  /**
   * Discovery sends two responses to one poll. The dispatcher applies the first list, discards the
   * second response, and makes the next poll on a new connection.
   */
  @Test
  void aSecondResponseToTheSamePollIsDiscarded() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      HttpMessage watch = program.discovery().nextRequest();
      String first =
          program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING).toJson();
      String second =
          program.endpointList(44, Extent.CHANGES, Health.SERVING, Health.DRAINING).toJson();

      String head = "HTTP/1.1 200 x\r\n";
      HttpIo.write(
          watch.connection(), HttpIo.withBody(head, first) + HttpIo.withBody(head, second));

      HttpMessage next = program.discovery().nextRequest();
      assertTrue(next.startLine().contains("?from=43&"), next.startLine());
      assertNotSame(watch.connection(), next.connection());
      program.assertAllServedBy(1, 8);
    }
  }
}
