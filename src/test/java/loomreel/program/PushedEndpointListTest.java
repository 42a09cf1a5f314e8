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
 * Verifies endpoint lists that are pushed to a local agent, from which the dispatcher gets them.
 *
 * <p>A list counts as known to the dispatcher as soon as the agent has it. From then on, jobs may
 * be sent to a draining worker only for the duration of the drain grace, so the dispatcher must get
 * each list within that time. To get the lists, the dispatcher keeps a watch open: a request that
 * the agent holds until the list changes, or until the time that the request names is over.
 */
@Timeout(120)
class PushedEndpointListTest {
  /** Returns a configuration with pushed endpoint lists and a drain grace of 5 s. */
  private static TestConfiguration pushConfiguration() {
    return new TestConfiguration().discoveryMode(DiscoveryMode.PUSH).drainGraceSeconds(5);
  }

  /**
   * Responds to each request with the same list until the dispatcher requests the changes after
   * that list. A slow dispatcher may repeat an earlier request before it sends that one.
   *
   * @param sequence the sequence number of the list
   * @param list the JSON text of the list
   * @return the request for the changes after the list; the caller has to respond to this request
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
    try (DispatcherProcess program = new DispatcherProcess(2, pushConfiguration())) {
      HttpMessage completeListRequest = program.discovery().nextRequest();
      assertEquals("GET /registry/instances HTTP/1.1", completeListRequest.startLine());
      List<SubmittedJob> jobs = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        jobs.add(program.submit("/copy/" + i, ""));
      }

      String list =
          program.endpointList(7, Extent.COMPLETE, Health.DRAINING, Health.SERVING).toJson();
      String indentedList = list.replace(",", ",\n  ");
      completeListRequest.respond(200, indentedList);
      respondUntilWatchedFrom(program, 7, indentedList);

      for (int i = 0; i < jobs.size(); i++) {
        program.serveNextJob(1, "served");
      }
      for (SubmittedJob job : jobs) {
        assertEquals("served", job.response().body());
      }
      assertFalse(program.worker(0).hasPendingRequest());
    }
  }

  /**
   * A watch fails if the agent does not respond in time, responds with a 503, closes the connection
   * or sends an incomplete list. In the case {@code cut}, the list ends after 40 characters.
   */
  @ParameterizedTest
  @ValueSource(strings = {"silent", "503", "closed", "cut"})
  void aFailedWatchIsRestartedOnANewConnectionWithinTheGrace(String failure) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, pushConfiguration())) {
      String knownList = program.endpointList(41, Extent.COMPLETE, Health.SERVING).toJson();
      String drainingList = program.endpointList(44, Extent.COMPLETE, Health.DRAINING).toJson();
      HttpMessage watch = respondUntilWatchedFrom(program, 41, knownList);

      for (int i = 0; i < 3; i++) {
        // A watch may be held for at most half of the drain grace.
        int holdMillis = Integer.parseInt(watch.startLine().replaceAll(".*hold_ms=(\\d+).*", "$1"));
        assertTrue(
            watch.startLine().contains("?from=41&") && holdMillis <= 2500, watch.startLine());
        switch (failure) {
          case "503" -> watch.respond(503, "");
          case "cut" -> watch.respond(200, drainingList.substring(0, 40));
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

  /** The platform expects a dispatcher to be ready within 30 s, even if the agent is silent. */
  @Test
  void theLastKnownListIsUsedIfTheAgentIsSilentForTooLong() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, pushConfiguration())) {
      program.discovery().nextRequest();
      SubmittedJob job = program.submit("/copy", "");

      String logLine = program.awaitLog("discovery agent silent");

      assertTrue(logLine.contains("last known endpoint list"));
      program.serveNextJob(0, "held");
      assertEquals("held", job.response().body());
    }
  }

  @Test
  void aListThatArrivesLateOnASilentWatchIsIgnored() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, pushConfiguration())) {
      String knownList = program.endpointList(41, Extent.COMPLETE, Health.SERVING).toJson();
      HttpMessage silentWatch = respondUntilWatchedFrom(program, 41, knownList);
      program.discovery().awaitClosed(silentWatch.connection());

      try {
        program
            .endpointList(50, Extent.COMPLETE, Health.SERVING, Health.DRAINING)
            .respondTo(silentWatch);
      } catch (SocketException reset) {
        // The dispatcher has closed the connection, so the write may fail. If the write succeeds,
        // the dispatcher ignores the list.
      }

      EndpointList drained =
          program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING);
      drained.respondTo(program.discovery().nextRequest());
      respondUntilWatchedFrom(program, 43, drained.toJson());
      program.assertAllServedBy(1, 8);
    }
  }
}
