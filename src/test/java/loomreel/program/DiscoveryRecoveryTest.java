package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import loomreel.program.EndpointList.Extent;
import loomreel.program.EndpointList.Health;
import loomreel.program.StepControlledServer.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Discovery is away, and comes back; what it then has to tell is known before a send could break
 * the rule on drains.
 */
@Timeout(120)
class DiscoveryRecoveryTest {
  private static final int DESCRIPTORS = 64;

  /**
   * As many idle clients as may come in, and more, leave the watch, the copy workers and call-backs
   * what is theirs.
   */
  @Test
  void idleClientsDoNotKeepTheWatchFromComingBack() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(2, new TestConfiguration().descriptorLimit(DESCRIPTORS))) {
      HttpMessage watch = server.discovery.nextRequest();
      int port = server.discovery.socketAddress().getPort();
      server.discovery.close();
      watch.connection().close();
      server.awaitStep(Step.WATCH_FAILED);
      List<Socket> idle = new ArrayList<>();
      for (int i = 0; i < 2 * DESCRIPTORS; i++) {
        idle.add(server.connect());
        HttpIo.write(
            idle.get(i), i % 3 == 0 ? "" : "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
      }
      SubmittedJob job = server.submit("/copy", "");
      int to = server.awaitAttemptWorker();
      server.serveNextJob(to, "while it is down");
      assertEquals("while it is down", job.response().body());
      server.discovery = new StubHttpServer(port);
      HttpMessage back = server.discovery.nextRequest();
      assertTrue(back.startLine().contains("?from=41&"), back.startLine());
      server.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING).respondTo(back);
      assertTrue(server.discovery.nextRequest().startLine().contains("?from=43&"));
      server.assertAllServedBy(1, 8);
      for (Socket client : idle) {
        client.close();
      }
    }
  }

  /**
   * A list that was cut, or is none, was told for all we know: it is asked for again at once, not
   * when it is convenient.
   */
  @ParameterizedTest
  @ValueSource(strings = {"cut", "nonsense", "older"})
  void aSpoiltListIsAskedForAgainAtOnceHoweverManyFailuresCameBefore(String how) throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(2, new TestConfiguration().discoveryPollIntervalSeconds(4))) {
      for (int i = 0; i < 3; i++) {
        server.discovery.nextRequest().respond(503, "");
      }
      HttpMessage watch = server.discovery.nextRequest();
      server.drainSteps();
      int sequence = how.equals("older") ? 40 : 43;
      String list =
          server.endpointList(sequence, Extent.CHANGES, Health.DRAINING, Health.SERVING).toJson();
      switch (how) {
        case "cut" -> {
          HttpIo.write(
              watch.connection(),
              "HTTP/1.1 200 x\r\nContent-Length: "
                  + list.length()
                  + "\r\n\r\n"
                  + list.substring(0, 50));
          watch.connection().close();
        }
        case "nonsense" -> watch.respond(200, list.substring(0, 50));
        default -> watch.respond(200, list);
      }
      HttpMessage again = server.discovery.nextRequest();
      assertTrue(
          server.drainSteps().stream().noneMatch(step -> step.is(Step.WATCH_FAILED)),
          "the module's back-off is for outages");
      assertEquals(how.equals("older"), !again.startLine().contains("?from="), again.startLine());
      server.endpointList(43, Extent.COMPLETE, Health.DRAINING, Health.SERVING).respondTo(again);
      server.discovery.nextRequest();
      server.assertAllServedBy(1, 8);
    }
  }

  /**
   * A move to another discovery while a call is out, and while nobody listens at the old address.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aMoveIsFollowedAtOnceAlsoDuringAnOutage(boolean down) throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(2, new TestConfiguration().discoveryPollIntervalSeconds(60));
        StubHttpServer next = new StubHttpServer()) {
      HttpMessage watch = server.discovery.nextRequest();
      if (down) {
        server.discovery.close();
        watch.connection().close();
        server.awaitStep(Step.WATCH_FAILED);
      }
      server.moveDiscovery(next.socketAddress());
      HttpMessage whole = next.nextRequest();
      assertEquals("GET /registry/instances HTTP/1.1", whole.startLine());
      server.endpointList(7, Extent.COMPLETE, Health.DRAINING, Health.SERVING).respondTo(whole);
      assertTrue(next.nextRequest().startLine().contains("?from=7&"));
      server.assertAllServedBy(1, 8);
    }
  }
}
