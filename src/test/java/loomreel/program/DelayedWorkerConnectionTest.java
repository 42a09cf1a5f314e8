package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import loomreel.program.harness.DispatcherHarness;
import loomreel.program.harness.EndpointList;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.program.harness.EndpointList.Health;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.RequestClass;
import loomreel.program.harness.StalledListener;
import loomreel.program.harness.StepControlledServer;
import loomreel.program.harness.StepControlledServer.Step;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Connections to workers that are established when their job may no longer be sent. */
@Timeout(120)
class DelayedWorkerConnectionTest {
  /** A job that is not sent leaves no connection within this time. */
  private static final int NO_CONNECTION_MILLIS = 100;

  /** How an endpoint list takes the first of two workers out of use. */
  private enum Removal {
    DRAINING,
    DELETED,
    /** A complete list does not have it. */
    MISSING;

    EndpointList list(DispatcherHarness harness) {
      if (this == MISSING) {
        return new EndpointList(43, Extent.COMPLETE)
            .with("w1", harness.worker(1).address(), Health.SERVING);
      }
      return harness.endpointList(43, Extent.CHANGES, Health.valueOf(name()), Health.SERVING);
    }
  }

  /** Connections may take longer than any test. */
  private static TestConfiguration longConnectTimeout() {
    return new TestConfiguration().connectTimeoutSeconds(25);
  }

  /** At the start the first worker serves, and the second one drains. */
  private static StepControlledServer startWithFirstWorker() throws Exception {
    return new StepControlledServer(
        2, longConnectTimeout().knownHealth(Health.SERVING, Health.DRAINING));
  }

  /** Submits a job whose attempt at the first worker waits for its connection. */
  private static SubmittedJob submitToFirstWorker(StepControlledServer server) throws Exception {
    SubmittedJob job = server.submit("/issue", "");
    assertEquals("w0", server.awaitStep(Step.ATTEMPT_STARTED).field("worker"));
    return job;
  }

  private static void assertServedBySecondWorker(
      StepControlledServer server, SubmittedJob job, StalledListener firstWorker) throws Exception {
    server.serveNextJob(1, "elsewhere");
    assertEquals("elsewhere", job.response().body());
    assertNull(firstWorker.nextConnection(NO_CONNECTION_MILLIS), "nothing is sent there");
  }

  /** The grace of a drain runs from the endpoint list on, and the connection may outlast it. */
  @ParameterizedTest
  @EnumSource(Removal.class)
  void anUnsentJobOfADrainingWorkerGoesToAnotherWorker(Removal removal) throws Exception {
    try (StepControlledServer server = startWithFirstWorker();
        StalledListener stalled = server.worker(0).stall()) {
      SubmittedJob job = submitToFirstWorker(server);

      removal.list(server).respondTo(server.discovery().nextRequest());

      assertEquals(
          "MOOT", server.awaitStep(Step.ATTEMPT_ENDED).field("outcome").toString(), "not sent");
      assertServedBySecondWorker(server, job, stalled);
    }
  }

  @Test
  void anUnsentJobOfADisabledWorkerGoesToAnotherWorker() throws Exception {
    try (StepControlledServer server = startWithFirstWorker();
        StalledListener stalled = server.worker(0).stall()) {
      SubmittedJob job = submitToFirstWorker(server);
      server
          .endpointList(43, Extent.CHANGES, Health.SERVING, Health.SERVING)
          .respondTo(server.discovery().nextRequest());
      server.discovery().nextRequest();

      server.disableWorker("w0");

      assertServedBySecondWorker(server, job, stalled);
    }
  }

  /**
   * Workers recognise a repetition by its key for 0.8 s, and the client waits for 20 s: a retry is
   * sent within the window or never, and the job fails at once.
   */
  @Test
  void aRetryThatCannotBeSentWithinTheDeduplicationWindowFails() throws Exception {
    TestConfiguration configuration =
        longConnectTimeout()
            .requestClasses(RequestClass.hold(0.8), RequestClass.copy(), RequestClass.issue());
    try (StepControlledServer server = new StepControlledServer(2, configuration)) {
      SubmittedJob job = server.submitWithKey("/hold/1", "a-key");
      int worker = server.awaitAttemptWorker();
      HttpMessage post = server.worker(worker).nextRequest();
      assertEquals("a-key", post.header("Idempotency-Key"));

      try (StalledListener stalled = server.worker(1 - worker).stall()) {
        post.connection().close();

        assertEquals(1 - worker, server.awaitAttemptWorker());
        assertEquals(
            "CONNECT_FAILED",
            server.awaitStep(Step.ATTEMPT_ENDED).field("outcome").toString(),
            "not sent");
        server.awaitStep(Step.JOB_FAILED);
        assertEquals(500, job.response().status());
        assertNull(stalled.nextConnection(NO_CONNECTION_MILLIS), "nothing is sent there");
      }
    }
  }
}
