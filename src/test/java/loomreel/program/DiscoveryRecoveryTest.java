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
 * Discovery after an outage, a bad response or a move: its list is applied before a job could be
 * sent to a worker beyond the grace of its drain.
 */
@Timeout(120)
class DiscoveryRecoveryTest {
  private static final int DESCRIPTORS = 64;

  /** Descriptors are reserved for the watch, for workers and for status updates. */
  @Test
  void idleClientsDoNotKeepTheWatchFromRecovering() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(2, new TestConfiguration().descriptorLimit(DESCRIPTORS))) {
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

  /** More than the dispatcher has descriptors; every third one sends no request. */
  private static List<Socket> connectIdleClients(StepControlledServer server) throws IOException {
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 2 * DESCRIPTORS; i++) {
      clients.add(server.connect());
      HttpIo.write(clients.get(i), i % 3 == 0 ? "" : DispatcherHarness.READINESS_HEAD + "\r\n");
    }
    return clients;
  }

  /** A list that cannot be used may have a drain in it; the backoff is for outages. */
  @ParameterizedTest
  @ValueSource(strings = {"cut", "nonsense", "older"})
  void anUnusableListIsRequestedAgainAtOnceDespiteEarlierFailures(String fault) throws Exception {
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

  private static void respondWithUnusableList(
      StepControlledServer server, HttpMessage watch, String fault) throws IOException {
    int sequence = fault.equals("older") ? 40 : 43;
    EndpointList list =
        server.endpointList(sequence, Extent.CHANGES, Health.DRAINING, Health.SERVING);
    String json = list.toJson();
    switch (fault) {
      case "cut" -> {
        String response = HttpIo.withBody("HTTP/1.1 200 x\r\n", json);
        int missing = json.length() - 50;
        HttpIo.write(watch.connection(), response.substring(0, response.length() - missing));
        watch.connection().close();
      }
      case "nonsense" -> watch.respond(200, json.substring(0, 50));
      default -> list.respondTo(watch);
    }
  }

  /** A move while a poll is pending, or while nothing listens at the old address. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aMoveOfDiscoveryAppliesAtOnceAlsoDuringAnOutage(boolean outage) throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(2, new TestConfiguration().discoveryPollIntervalSeconds(60));
        StubHttpServer next = new StubHttpServer()) {
      HttpMessage watch = server.discovery().nextRequest();
      if (outage) {
        server.discovery().close();
        watch.connection().close();
        server.awaitStep(Step.WATCH_FAILED);
      }

      server.moveDiscovery(next.socketAddress());

      HttpMessage complete = next.nextRequest();
      assertEquals("GET /registry/instances HTTP/1.1", complete.startLine());
      server.endpointList(7, Extent.COMPLETE, Health.DRAINING, Health.SERVING).respondTo(complete);
      assertTrue(next.nextRequest().startLine().contains("?from=7&"));
      server.assertAllServedBy(1, 8);
    }
  }
}
