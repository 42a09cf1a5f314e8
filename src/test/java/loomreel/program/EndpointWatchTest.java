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

/** The watch of polled endpoint lists: which lists are applied, and how a failed watch restarts. */
@Timeout(120)
class EndpointWatchTest {
  @Test
  void theEndpointListIsWatchedAndADrainingWorkerGetsNoJobs() throws Exception {
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

  @Test
  void theLastEntryOfAWorkerInAListApplies() throws Exception {
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
   * An older list might have a draining worker as serving. A complete list that the dispatcher has
   * requested applies whatever its sequence number.
   */
  @Test
  void anOlderListIsIgnoredAndACompleteListRequested() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      program
          .endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING)
          .respondTo(program.discovery().nextRequest());

      program
          .endpointList(42, Extent.COMPLETE, Health.SERVING, Health.DRAINING)
          .respondTo(program.discovery().nextRequest());

      HttpMessage complete = program.discovery().nextRequest();
      assertTrue(
          complete.startLine().startsWith("GET /registry/instances HTTP"), complete.startLine());
      program.assertAllServedBy(1, 8);
      program.endpointList(7, Extent.COMPLETE, Health.SERVING, Health.DRAINING).respondTo(complete);
      assertTrue(
          program.discovery().nextRequest().startLine().contains("from=7&"),
          "its sequence number applies from now on");
      SubmittedJob job = program.submit("/copy", "");
      program.serveNextJob(0, "back");
      assertEquals("back", job.response().body());
    }
  }

  /** The last list stays in use meanwhile. */
  @ParameterizedTest
  @ValueSource(strings = {"503", "nonsense", "cut", "closed", "silent"})
  void aFailedWatchIsRestarted(String failure) throws Exception {
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

  /** The second response is discarded, and its connection is not used for the next poll. */
  @Test
  void aListThatIsSentTwiceAppliesOnce() throws Exception {
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
