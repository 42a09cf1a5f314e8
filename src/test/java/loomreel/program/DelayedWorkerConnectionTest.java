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

/**
 * Tests jobs that wait for a connection to a worker and that the dispatcher may no longer send to
 * this worker when the connection is established.
 */
@Timeout(120)
class DelayedWorkerConnectionTest {
  /** The time, in milliseconds, for which a test checks that no connection arrives. */
  private static final int NO_CONNECTION_WAIT_MILLIS = 100;

  /** The way in which an endpoint list takes the first of two workers out of service. */
  private enum Removal {
    DRAINING,
    DELETED,
    /** The list is complete and does not contain the worker. */
    MISSING;

    /** Creates the endpoint list, with sequence number 43. The second worker serves. */
    EndpointList createList(DispatcherHarness harness) {
      if (this == MISSING) {
        return new EndpointList(43, Extent.COMPLETE)
            .with("w1", harness.worker(1).address(), Health.SERVING);
      }
      return harness.endpointList(43, Extent.CHANGES, Health.valueOf(name()), Health.SERVING);
    }
  }

  /**
   * Creates a configuration with a connect timeout of 25 s, so that no attempt to connect times out
   * during a test.
   */
  private static TestConfiguration configurationWithLongConnectTimeout() {
    return new TestConfiguration().connectTimeoutSeconds(25);
  }

  /** Starts a dispatcher with two workers: w0 serves, and w1 drains. */
  private static StepControlledServer startWithFirstWorkerServing() throws Exception {
    return new StepControlledServer(
        2, configurationWithLongConnectTimeout().knownHealth(Health.SERVING, Health.DRAINING));
  }

  /**
   * Submits a job and waits until its attempt at the first worker has started. The listener of this
   * worker is stalled, so the attempt waits for its connection.
   */
  private static SubmittedJob submitToFirstWorker(StepControlledServer server) throws Exception {
    SubmittedJob job = server.submit("/issue", "");
    assertEquals("w0", server.awaitStep(Step.ATTEMPT_STARTED).field("worker"));
    return job;
  }

  /** Checks that the second worker serves the job and that the first worker gets no connection. */
  private static void assertServedBySecondWorker(
      StepControlledServer server, SubmittedJob job, StalledListener firstWorker) throws Exception {
    server.serveNextJob(1, "elsewhere");
    assertEquals("elsewhere", job.response().body());
    assertNull(firstWorker.nextConnection(NO_CONNECTION_WAIT_MILLIS), "nothing is sent there");
  }

  /**
   * The grace period of a drain starts when the endpoint list is received, and the connection
   * attempt may last longer than the grace period. The dispatcher does not wait for the connection.
   */
  @ParameterizedTest
  @EnumSource(Removal.class)
  void anUnsentJobOfARemovedOrDrainingWorkerGoesToAnotherWorker(Removal removal) throws Exception {
    try (StepControlledServer server = startWithFirstWorkerServing();
        StalledListener stalledWorker = server.worker(0).stall()) {
      SubmittedJob job = submitToFirstWorker(server);

      removal.createList(server).respondTo(server.discovery().nextRequest());

      assertEquals(
          "MOOT", server.awaitStep(Step.ATTEMPT_ENDED).field("outcome").toString(), "not sent");
      assertServedBySecondWorker(server, job, stalledWorker);
    }
  }

  @Test
  void anUnsentJobOfADisabledWorkerGoesToAnotherWorker() throws Exception {
    try (StepControlledServer server = startWithFirstWorkerServing();
        StalledListener stalledWorker = server.worker(0).stall()) {
      SubmittedJob job = submitToFirstWorker(server);
      server
          .endpointList(43, Extent.CHANGES, Health.SERVING, Health.SERVING)
          .respondTo(server.discovery().nextRequest());
      server.discovery().nextRequest();

      server.disableWorker("w0");

      assertServedBySecondWorker(server, job, stalledWorker);
    }
  }

  /**
   * Workers recognise a repeated job by its idempotency key for 0.8 s (the deduplication window). A
   * retry is sent within this window or not at all. When the window has passed, the job fails at
   * once, although the client would wait for 20 s.
   */
  @Test
  void aRetryThatCannotBeSentWithinTheDeduplicationWindowFails() throws Exception {
    TestConfiguration configuration =
        configurationWithLongConnectTimeout()
            .requestClasses(RequestClass.hold(0.8), RequestClass.copy(), RequestClass.issue());
    try (StepControlledServer server = new StepControlledServer(2, configuration)) {
      SubmittedJob job = server.submitWithKey("/hold/1", "a-key");
      int worker = server.awaitAttemptWorker();
      HttpMessage post = server.worker(worker).nextRequest();
      assertEquals("a-key", post.header("Idempotency-Key"));

      try (StalledListener stalledWorker = server.worker(1 - worker).stall()) {
        post.connection().close();

        assertEquals(1 - worker, server.awaitAttemptWorker());
        assertEquals(
            "CONNECT_FAILED",
            server.awaitStep(Step.ATTEMPT_ENDED).field("outcome").toString(),
            "not sent");
        server.awaitStep(Step.JOB_FAILED);
        assertEquals(500, job.response().status());
        assertNull(
            stalledWorker.nextConnection(NO_CONNECTION_WAIT_MILLIS), "nothing is sent there");
      }
    }
  }
}
