package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.EndpointList;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.program.harness.EndpointList.Health;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import loomreel.program.harness.TestConfiguration.DiscoveryMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pushed endpoint lists: what a local agent has counts as known to the dispatcher from the first
 * moment on, so that no list may be missed for as long as the drain grace.
 */
@Timeout(120)
class PushedEndpointListTest {
  private static TestConfiguration pushed() {
    return new TestConfiguration().discoveryMode(DiscoveryMode.PUSH).drainGraceSeconds(5);
  }

  /**
   * Responds to each request with a list until the dispatcher watches from it on: a slow dispatcher
   * may repeat a request first. The watch from the list on.
   */
  private static HttpMessage respondUntilWatchedFrom(
      DispatcherProcess program, int sequence, String list) throws Exception {
    HttpMessage request = program.discovery().nextRequest();
    while (!request.startLine().contains("?from=" + sequence + "&")) {
      request.respond(200, list);
      request = program.discovery().nextRequest();
    }
    return request;
  }

  @Test
  void aPushedListAppliesBeforeTheFirstJobIsSent() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, pushed())) {
      HttpMessage complete = program.discovery().nextRequest();
      assertEquals("GET /registry/instances HTTP/1.1", complete.startLine());
      List<SubmittedJob> jobs = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        jobs.add(program.submit("/copy/" + i, ""));
      }

      String list =
          program.endpointList(7, Extent.COMPLETE, Health.DRAINING, Health.SERVING).toJson();
      String indented = list.replace(",", ",\n  ");
      complete.respond(200, indented);
      respondUntilWatchedFrom(program, 7, indented);

      for (int i = 0; i < jobs.size(); i++) {
        program.serveNextJob(1, "served");
      }
      for (SubmittedJob job : jobs) {
        assertEquals("served", job.response().body());
      }
      assertFalse(program.worker(0).hasPendingRequest());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"silent", "503", "closed", "cut"})
  void aFailedWatchIsRestartedOnANewConnectionWithinTheGrace(String failure) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, pushed())) {
      String known = program.endpointList(41, Extent.COMPLETE, Health.SERVING).toJson();
      String cut = program.endpointList(44, Extent.COMPLETE, Health.DRAINING).toJson();
      HttpMessage watch = respondUntilWatchedFrom(program, 41, known);

      for (int i = 0; i < 3; i++) {
        int hold = Integer.parseInt(watch.startLine().replaceAll(".*hold_ms=(\\d+).*", "$1"));
        assertTrue(watch.startLine().contains("?from=41&") && hold <= 2500, watch.startLine());
        switch (failure) {
          case "503" -> watch.respond(503, "");
          case "cut" -> watch.respond(200, cut.substring(0, 40));
          case "closed" -> watch.connection().close();
          default -> program.discovery().awaitClosed(watch.connection());
        }
        watch = program.discovery().nextRequest();
      }

      EndpointList drained =
          program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING);
      drained.respondTo(watch);
      respondUntilWatchedFrom(program, 43, drained.toJson());
      program.assertAllServedBy(1, 8);
    }
  }

  /** The platform expects a dispatcher to be ready within 30 s. */
  @Test
  void aSilentAgentDelaysTheStartForALimitedTime() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, pushed())) {
      program.discovery().nextRequest();
      SubmittedJob job = program.submit("/copy", "");

      String logged = program.awaitLog("discovery agent silent");

      assertTrue(logged.contains("last known endpoint list"));
      program.serveNextJob(0, "held");
      assertEquals("held", job.response().body());
    }
  }

  @Test
  void aListThatArrivesLateOnASilentWatchIsIgnored() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, pushed())) {
      String known = program.endpointList(41, Extent.COMPLETE, Health.SERVING).toJson();
      HttpMessage silent = respondUntilWatchedFrom(program, 41, known);
      program.discovery().awaitClosed(silent.connection());

      try {
        program
            .endpointList(50, Extent.COMPLETE, Health.SERVING, Health.DRAINING)
            .respondTo(silent);
      } catch (SocketException reset) {
        // The dispatcher does not read it either way.
      }

      EndpointList drained =
          program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING);
      drained.respondTo(program.discovery().nextRequest());
      respondUntilWatchedFrom(program, 43, drained.toJson());
      program.assertAllServedBy(1, 8);
    }
  }
}
