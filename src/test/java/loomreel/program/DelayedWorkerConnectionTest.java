package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A connection to a copy worker that comes up late, when what was to go out on it may not go any
 * more.
 */
@Timeout(120)
class DelayedWorkerConnectionTest {
  private static String lateConnections(String settings) {
    return settings.replace("\"ConnectTimeoutS\":5", "\"ConnectTimeoutS\":25");
  }

  /**
   * The time to send to what drains runs from the news on; a connection that is still coming up may
   * outlast it.
   */
  @ParameterizedTest
  @ValueSource(strings = {"DRAINING", "DELETED", "missing"})
  void whatHasNotLeftForADrainingCopyWorkerGoesElsewhere(String how) throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(
                2,
                c -> lateConnections(c).replaceFirst("SERVING(.*?)SERVING", "SERVING$1DRAINING"));
        StalledListener late = server.workers.get(0).lateFromNowOn()) {
      DispatcherHarness.Job job = server.job("/issue", "");
      assertEquals("w0", server.await("send").field("worker"));
      String list =
          server.list(
              43, how.equals("missing"), how.equals("missing") ? "SERVING" : how, "SERVING");
      server
          .discovery
          .next()
          .answer(
              200,
              how.equals("missing") ? list.replaceFirst("\\{\"host\":\"w0\".*?\\},", "") : list);
      assertEquals("MOOT", server.await("end").field("outcome").toString(), "it never ran");
      server.serve(1, "elsewhere");
      assertEquals("elsewhere", job.answer().body());
      assertNull(late.next(100), "nothing is on its way there any more");
    }
  }

  /** An operator has taken it out of use, for a repair perhaps. */
  @Test
  void whatHasNotLeftForACopyWorkerThatIsTakenDownGoesElsewhere() throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(
                2,
                c -> lateConnections(c).replaceFirst("SERVING(.*?)SERVING", "SERVING$1DRAINING"));
        StalledListener late = server.workers.get(0).lateFromNowOn()) {
      DispatcherHarness.Job job = server.job("/issue", "");
      assertEquals("w0", server.await("send").field("worker"));
      server.discovery.next().answer(200, server.list(43, false, "SERVING", "SERVING"));
      server.discovery.next();
      server.server.loop().execute(() -> down(server));
      server.serve(1, "elsewhere");
      assertEquals("elsewhere", job.answer().body());
      assertNull(late.next(100), "nothing is on its way there any more");
    }
  }

  private static void down(StepControlledServer server) {
    try {
      server.server.adminOperations().setWorkerDisabled("w0", true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Copy workers tell a repeat by its key for 0.8 s here, and the client waits for 20: the repeat
   * is sent in that time or never, and the client hears at once that it is over.
   */
  @Test
  void aRepeatThatCannotLeaveWhileItIsToldDoesNotLeave() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(
            2,
            c ->
                lateConnections(ServeTest.keyedClass(c))
                    .replace("\"WindowS\":15", "\"WindowS\":0.8"))) {
      DispatcherHarness.Job job = server.keyed("/hold/1", "a-key");
      StepControlledServer.Step first = server.await("send");
      int at = first.field("worker").equals("w0") ? 0 : 1;
      Http.Message post = server.workers.get(at).next();
      assertEquals("a-key", post.header("Idempotency-Key"));
      try (StalledListener late = server.workers.get(1 - at).lateFromNowOn()) {
        post.from().close();
        assertEquals("w" + (1 - at), server.await("send").field("worker"));
        assertEquals(
            "CONNECT_FAILED", server.await("end").field("outcome").toString(), "it never ran");
        server.await("fail");
        assertEquals(500, job.answer().status());
        assertNull(late.next(100), "nothing is on its way there any more");
      }
    }
  }
}
