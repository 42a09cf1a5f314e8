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
 * Tests the endpoint watch, by which the dispatcher polls discovery for the endpoint list. The
 * tests check which lists the dispatcher applies, and how it polls again after a failed poll.
 */
@Timeout(120)
class EndpointWatchTest {
  @Test
  void theEndpointListIsPolledForChangesAndADrainingWorkerGetsNoJobs() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      HttpMessage poll = program.discovery().nextRequest();
      assertTrue(
          poll.startLine().startsWith("GET /registry/instances?from=41&hold_ms="),
          poll.startLine());

      program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING).respondTo(poll);

      HttpMessage next = program.discovery().nextRequest();
      assertTrue(next.startLine().contains("from=43&"), next.startLine());
      assertSame(poll.connection(), next.connection());
      program.assertAllServedBy(1, 8);
    }
  }

  /**
   * The endpoint list contains each worker twice. The first worker is serving in its first entry
   * and draining in its last one.
   */
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
   * A list that is older than the last applied list could contain a draining worker as serving. The
   * dispatcher therefore ignores a list with a lower sequence number and requests a complete list.
   * It applies this complete list whatever its sequence number is.
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
   * After a failed poll, the dispatcher polls again. Until a poll succeeds, it uses the last list.
   *
   * @param failure "503" for a response with status 503, "nonsense" for a complete JSON text with
   *     an invalid list, "cut" for truncated JSON, "closed" for a connection that is closed without
   *     a response, or "silent" for no response; "nonsense" and "cut" denote other faults in {@link
   *     DiscoveryRecoveryTest}
   */
  @ParameterizedTest
  @ValueSource(strings = {"503", "nonsense", "cut", "closed", "silent"})
  void aFailedPollIsRepeatedAndTheLastListStaysInUse(String failure) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      HttpMessage poll = program.discovery().nextRequest();

      switch (failure) {
        case "503" -> poll.respond(503, "");
        case "silent" -> {}
        case "nonsense" -> poll.respond(200, "{\"seq\":44,\"whole\":true,\"hosts\":[{}]}");
        case "cut" -> {
          String list = program.endpointList(44, Extent.COMPLETE, Health.DRAINING).toJson();
          poll.respond(200, list.substring(0, 40));
        }
        default -> poll.connection().close();
      }

      assertTrue(program.discovery().nextRequest().startLine().contains("from=41&"));
      SubmittedJob job = program.submit("/copy", "");
      program.serveNextJob(0, "held");
      assertEquals("held", job.response().body());
    }
  }

  /**
   * Discovery sends two responses to one poll. The dispatcher applies the list in the first
   * response, discards the second response, and sends the next poll on a new connection.
   */
  @Test
  void aSecondResponseToTheSamePollIsDiscarded() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      HttpMessage poll = program.discovery().nextRequest();
      String first =
          program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING).toJson();
      String second =
          program.endpointList(44, Extent.CHANGES, Health.SERVING, Health.DRAINING).toJson();

      String head = "HTTP/1.1 200 x\r\n";
      HttpIo.write(poll.connection(), HttpIo.withBody(head, first) + HttpIo.withBody(head, second));

      HttpMessage next = program.discovery().nextRequest();
      assertTrue(next.startLine().contains("?from=43&"), next.startLine());
      assertNotSame(poll.connection(), next.connection());
      program.assertAllServedBy(1, 8);
    }
  }
}
