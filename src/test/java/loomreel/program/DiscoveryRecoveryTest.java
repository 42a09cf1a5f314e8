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
 * Tests the recovery of the endpoint watch after an outage of discovery, an unusable list, or a
 * move of discovery to another address. The dispatcher has to apply the new endpoint list before it
 * could send a job to a draining worker whose grace period is over.
 */
@Timeout(120)
class DiscoveryRecoveryTest {
  /** The descriptor limit of the dispatcher under test. */
  private static final int DESCRIPTOR_LIMIT = 64;

  /**
   * Client connections cannot use all descriptors, because the dispatcher reserves descriptors for
   * the watch, for workers and for status updates.
   */
  @Test
  void theWatchRecoversWhileIdleClientsReachTheConnectionLimit() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(2, new TestConfiguration().descriptorLimit(DESCRIPTOR_LIMIT))) {
      HttpMessage watch = server.discovery().nextRequest();
      int port = server.discovery().socketAddress().getPort();
      server.discovery().close();
      watch.connection().close();
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
   * Opens twice as many client connections as the dispatcher has descriptors. Every third client
   * sends no request; the others send a readiness check.
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
   * again without the backoff, which applies only while discovery is unavailable.
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
      HttpMessage watch = server.discovery().nextRequest();
      server.drainSteps();

      respondWithUnusableList(server, watch, fault);

      HttpMessage retry = server.discovery().nextRequest();
      assertTrue(
          server.drainSteps().stream().noneMatch(step -> step.is(Step.WATCH_FAILED)), "no backoff");
      assertEquals(fault.equals("older"), !retry.startLine().contains("?from="), retry.startLine());
      server.endpointList(43, Extent.COMPLETE, Health.DRAINING, Health.SERVING).respondTo(retry);
      server.discovery().nextRequest();
      server.assertAllServedBy(1, 8);
    }
  }

  /**
   * Responds to a poll with a list that cannot be used.
   *
   * @param fault "cut" for a response that ends early, "nonsense" for a truncated JSON text, or
   *     "older" for a sequence number (40) below that of the known list (41)
   */
  private static void respondWithUnusableList(
      StepControlledServer server, HttpMessage watch, String fault) throws IOException {
    int sequence = fault.equals("older") ? 40 : 43;
    EndpointList list =
        server.endpointList(sequence, Extent.CHANGES, Health.DRAINING, Health.SERVING);
    String json = list.toJson();
    switch (fault) {
      case "cut" -> {
        String response = HttpIo.withBody("HTTP/1.1 200 x\r\n", json);
        int missingBytes = json.length() - 50;
        HttpIo.write(watch.connection(), response.substring(0, response.length() - missingBytes));
        watch.connection().close();
      }
      case "nonsense" -> watch.respond(200, json.substring(0, 50));
      default -> list.respondTo(watch);
    }
  }

  /**
   * Discovery moves to another address. In the outage case nothing listens at the previous address;
   * otherwise a poll is pending there.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aMoveOfDiscoveryAppliesImmediatelyEvenDuringAnOutage(boolean duringOutage) throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(2, new TestConfiguration().discoveryPollIntervalSeconds(60));
        StubHttpServer movedDiscovery = new StubHttpServer()) {
      HttpMessage watch = server.discovery().nextRequest();
      if (duringOutage) {
        server.discovery().close();
        watch.connection().close();
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
