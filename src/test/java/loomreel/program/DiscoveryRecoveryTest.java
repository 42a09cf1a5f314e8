package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
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
  private static final int ROOM = 64;

  /**
   * As many idle clients as may come in, and more, leave the watch, the copy workers and call-backs
   * what is theirs.
   */
  @Test
  void idleClientsDoNotKeepTheWatchFromComingBack() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(2, c -> c.replace("\"sockets\":1024", "\"sockets\":" + ROOM))) {
      Http.Message watch = server.discovery.next();
      int port = server.discovery.at().getPort();
      server.discovery.close();
      watch.from().close();
      server.await("listlost");
      List<Socket> idle = new ArrayList<>();
      for (int i = 0; i < 2 * ROOM; i++) {
        idle.add(server.connect());
        Http.write(idle.get(i), i % 3 == 0 ? "" : "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
      }
      DispatcherHarness.Job job = server.job("/copy", "");
      int to = server.awaitSend();
      server.serve(to, "while it is down");
      assertEquals("while it is down", job.answer().body());
      server.discovery = new Http.Peer(port);
      Http.Message back = server.discovery.next();
      assertTrue(back.first().contains("?from=41&"), back.first());
      back.answer(200, server.list(43, false, "DRAINING", "SERVING"));
      assertTrue(server.discovery.next().first().contains("?from=43&"));
      server.allGoTo(1, 8);
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
        new StepControlledServer(2, c -> c.replace("\"AskWithinS\":0.5", "\"AskWithinS\":4"))) {
      for (int i = 0; i < 3; i++) {
        server.discovery.next().answer(503, "");
      }
      Http.Message watch = server.discovery.next();
      server.taken();
      String list = server.list(how.equals("older") ? 40 : 43, false, "DRAINING", "SERVING");
      switch (how) {
        case "cut" -> {
          Http.write(
              watch.from(),
              "HTTP/1.1 200 x\r\nContent-Length: "
                  + list.length()
                  + "\r\n\r\n"
                  + list.substring(0, 50));
          watch.from().close();
        }
        case "nonsense" -> watch.answer(200, list.substring(0, 50));
        default -> watch.answer(200, list);
      }
      Http.Message again = server.discovery.next();
      assertTrue(
          server.taken().stream().noneMatch(s -> s.what().equals("listlost")),
          "the module's back-off is for outages");
      assertEquals(how.equals("older"), !again.first().contains("?from="), again.first());
      again.answer(200, server.list(43, true, "DRAINING", "SERVING"));
      server.discovery.next();
      server.allGoTo(1, 8);
    }
  }

  /**
   * A move to another discovery while a call is out, and while nobody listens at the old address.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aMoveIsFollowedAtOnceAlsoDuringAnOutage(boolean down) throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(2, c -> c.replace("\"AskWithinS\":0.5", "\"AskWithinS\":60"));
        Http.Peer next = new Http.Peer()) {
      Http.Message watch = server.discovery.next();
      if (down) {
        server.discovery.close();
        watch.from().close();
        server.await("listlost");
      }
      server.server.loop().execute(() -> server.server.configReloader().moveDiscovery(next.at()));
      Http.Message whole = next.next();
      assertEquals("GET /registry/instances HTTP/1.1", whole.first());
      whole.answer(200, server.list(7, true, "DRAINING", "SERVING"));
      assertTrue(next.next().first().contains("?from=7&"));
      server.allGoTo(1, 8);
    }
  }
}
