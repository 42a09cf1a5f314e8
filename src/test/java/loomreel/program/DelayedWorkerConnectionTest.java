package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import loomreel.program.EndpointList.Extent;
import loomreel.program.EndpointList.Health;
import loomreel.program.StepControlledServer.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A connection to a copy worker that comes up late, when what was to go out on it may not go any
 * more.
 */
@Timeout(120)
class DelayedWorkerConnectionTest {
  /** How an endpoint list takes the first of two workers out of use. */
  private enum Removal {
    DRAINING,
    DELETED,
    /** A complete list does not have it. */
    MISSING;

    EndpointList change(DispatcherHarness harness) {
      if (this == MISSING) {
        return new EndpointList(43, Extent.COMPLETE)
            .with("w1", harness.workers.get(1).address(), Health.SERVING);
      }
      return harness.endpointList(43, Extent.CHANGES, Health.valueOf(name()), Health.SERVING);
    }
  }

  /** Connections may take longer than any test. */
  private static TestConfiguration longConnectTimeout() {
    return new TestConfiguration().connectTimeoutSeconds(25);
  }

  /** The first worker serves at the start, and the second one drains. */
  private static TestConfiguration secondWorkerDrains() {
    return longConnectTimeout().knownHealth(Health.SERVING, Health.DRAINING);
  }

  /**
   * The time to send to what drains runs from the news on; a connection that is still coming up may
   * outlast it.
   */
  @ParameterizedTest
  @EnumSource(Removal.class)
  void whatHasNotLeftForADrainingCopyWorkerGoesElsewhere(Removal removal) throws Exception {
    try (StepControlledServer server = new StepControlledServer(2, secondWorkerDrains());
        StalledListener late = server.workers.get(0).stall()) {
      SubmittedJob job = server.submit("/issue", "");
      assertEquals("w0", server.awaitStep(Step.ATTEMPT_STARTED).field("worker"));
      removal.change(server).respondTo(server.discovery.nextRequest());
      assertEquals(
          "MOOT", server.awaitStep(Step.ATTEMPT_ENDED).field("outcome").toString(), "it never ran");
      server.serveNextJob(1, "elsewhere");
      assertEquals("elsewhere", job.response().body());
      assertNull(late.nextConnection(100), "nothing is on its way there any more");
    }
  }

  /** An operator has taken it out of use, for a repair perhaps. */
  @Test
  void whatHasNotLeftForACopyWorkerThatIsTakenDownGoesElsewhere() throws Exception {
    try (StepControlledServer server = new StepControlledServer(2, secondWorkerDrains());
        StalledListener late = server.workers.get(0).stall()) {
      SubmittedJob job = server.submit("/issue", "");
      assertEquals("w0", server.awaitStep(Step.ATTEMPT_STARTED).field("worker"));
      server
          .endpointList(43, Extent.CHANGES, Health.SERVING, Health.SERVING)
          .respondTo(server.discovery.nextRequest());
      server.discovery.nextRequest();
      server.disableWorker("w0");
      server.serveNextJob(1, "elsewhere");
      assertEquals("elsewhere", job.response().body());
      assertNull(late.nextConnection(100), "nothing is on its way there any more");
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
            longConnectTimeout()
                .requestClasses(
                    RequestClass.hold(0.8), RequestClass.copy(), RequestClass.issue()))) {
      SubmittedJob job = server.submitWithKey("/hold/1", "a-key");
      StepControlledServer.ReachedStep first = server.awaitStep(Step.ATTEMPT_STARTED);
      int at = first.field("worker").equals("w0") ? 0 : 1;
      HttpMessage post = server.workers.get(at).nextRequest();
      assertEquals("a-key", post.header("Idempotency-Key"));
      try (StalledListener late = server.workers.get(1 - at).stall()) {
        post.connection().close();
        assertEquals("w" + (1 - at), server.awaitStep(Step.ATTEMPT_STARTED).field("worker"));
        assertEquals(
            "CONNECT_FAILED",
            server.awaitStep(Step.ATTEMPT_ENDED).field("outcome").toString(),
            "it never ran");
        server.awaitStep(Step.JOB_FAILED);
        assertEquals(500, job.response().status());
        assertNull(late.nextConnection(100), "nothing is on its way there any more");
      }
    }
  }
}
