package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import loomreel.program.harness.DispatcherHarness;
import loomreel.program.harness.EndpointList;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.program.harness.EndpointList.Health;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.StepControlledServer;
import loomreel.program.harness.StepControlledServer.Step;
import loomreel.program.harness.StubHttpServer;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests how the endpoint watch recovers after an outage of discovery, after an unusable list, and
 * after a move of discovery to another address.
 *
 * <p>A worker may start to drain before the watch has recovered. The dispatcher does not know this
 * and still sends jobs to the worker. Jobs may be sent to a draining worker only for a limited
 * time, the grace period of the drain. The dispatcher has to apply the new endpoint list before
 * this time is over.
 */
@Timeout(120)
class DiscoveryRecoveryTest {
  /** The descriptor limit of the dispatcher under test. */
  private static final int DESCRIPTOR_LIMIT = 64;

  /**
   * Idle clients open more connections than the dispatcher permits. The connections cannot use all
   * descriptors, because the dispatcher reserves some for the watch, for workers and for status
   * updates.
   */
  @Test
  void theWatchRecoversWhileIdleClientsReachTheConnectionLimit() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(2, new TestConfiguration().descriptorLimit(DESCRIPTOR_LIMIT))) {
      HttpMessage poll = server.discovery().nextRequest();
      int port = server.discovery().socketAddress().getPort();
      server.discovery().close();
      poll.connection().close();
      server.awaitStep(Step.WATCH_FAILED);
      List<Socket> idleClients = connectIdleClients(server);
      SubmittedJob job = server.submit("/copy", "");
      server.serveNextJob(server.awaitAttemptWorker(), "during the outage");
      assertEquals("during the outage", job.response().body());

      server.restartDiscovery(port);

      HttpMessage recovered = server.discovery().nextRequest();
      assertTrue(recovered.startLine().contains("?from=41&"), recovered.startLine());
      server.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING).respondTo(recovered);
      assertTrue(server.discovery().nextRequest().startLine().contains("?from=43&"));
      server.assertAllServedBy(1, 8);
      for (Socket client : idleClients) {
        client.close();
      }
    }
  }

  /**
   * Opens twice as many client connections as the dispatcher has descriptors. No request is sent on
   * every third connection. A readiness check is sent on each of the others.
   */
  private static List<Socket> connectIdleClients(StepControlledServer server) throws IOException {
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 2 * DESCRIPTOR_LIMIT; i++) {
      clients.add(server.connect());
      HttpIo.write(clients.get(i), i % 3 == 0 ? "" : DispatcherHarness.READINESS_HEAD + "\r\n");
    }
    return clients;
  }

  /**
   * An unusable list may contain the drain of a worker. The dispatcher therefore requests the list
   * again without a backoff. A backoff applies only while discovery is unavailable, as it is here
   * for the first three polls, which fail with status 503.
   *
   * @param fault see {@link #respondWithUnusableList}
   */
  @ParameterizedTest
  @ValueSource(strings = {"cut", "nonsense", "older"})
  void anUnusableListIsRequestedAgainWithoutBackoffAfterEarlierFailures(String fault)
      throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(2, new TestConfiguration().discoveryPollIntervalSeconds(4))) {
      for (int i = 0; i < 3; i++) {
        server.discovery().nextRequest().respond(503, "");
      }
      HttpMessage poll = server.discovery().nextRequest();
      server.drainSteps();

      respondWithUnusableList(server, poll, fault);

      HttpMessage retry = server.discovery().nextRequest();
      assertTrue(
          server.drainSteps().stream().noneMatch(step -> step.is(Step.WATCH_FAILED)),
          "the list must be requested again without a backoff");
      assertEquals(fault.equals("older"), !retry.startLine().contains("?from="), retry.startLine());
      server.endpointList(43, Extent.COMPLETE, Health.DRAINING, Health.SERVING).respondTo(retry);
      server.discovery().nextRequest();
      server.assertAllServedBy(1, 8);
    }
  }

  /**
   * Responds to a poll with a list that the dispatcher cannot use.
   *
   * @param poll the poll
   * @param fault "cut" if the connection is closed before the end of the response, "nonsense" if
   *     the response is complete and its body is truncated JSON, or "older" if the list has a lower
   *     sequence number (40) than the known list (41); "cut" and "nonsense" denote other faults in
   *     {@link EndpointWatchTest}
   */
  private static void respondWithUnusableList(
      StepControlledServer server, HttpMessage poll, String fault) throws IOException {
    int sequence = fault.equals("older") ? 40 : 43;
    EndpointList list =
        server.endpointList(sequence, Extent.CHANGES, Health.DRAINING, Health.SERVING);
    String json = list.toJson();
    switch (fault) {
      case "cut" -> {
        String response = HttpIo.withBody("HTTP/1.1 200 x\r\n", json);
        int missingBytes = json.length() - 50;
        HttpIo.write(poll.connection(), response.substring(0, response.length() - missingBytes));
        poll.connection().close();
      }
      case "nonsense" -> poll.respond(200, json.substring(0, 50));
      default -> list.respondTo(poll);
    }
  }

  /**
   * Discovery moves to another address.
   *
   * @param duringOutage whether nothing listens at the previous address; if false, a poll is
   *     pending at the previous address
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aMoveOfDiscoveryAppliesImmediatelyEvenDuringAnOutage(boolean duringOutage) throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(2, new TestConfiguration().discoveryPollIntervalSeconds(60));
        StubHttpServer movedDiscovery = new StubHttpServer()) {
      HttpMessage poll = server.discovery().nextRequest();
      if (duringOutage) {
        server.discovery().close();
        poll.connection().close();
        server.awaitStep(Step.WATCH_FAILED);
      }

      server.moveDiscovery(movedDiscovery.socketAddress());

      HttpMessage completeListRequest = movedDiscovery.nextRequest();
      assertEquals("GET /registry/instances HTTP/1.1", completeListRequest.startLine());
      server
          .endpointList(7, Extent.COMPLETE, Health.DRAINING, Health.SERVING)
          .respondTo(completeListRequest);
      assertTrue(movedDiscovery.nextRequest().startLine().contains("?from=7&"));
      server.assertAllServedBy(1, 8);
    }
  }
}
