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
 * Tests jobs that wait until a connection to a worker is established. While a job waits, an event
 * occurs after which the dispatcher must not send the job to this worker: the worker drains, is
 * removed or is disabled, or the time for a retry ends.
 */
@Timeout(120)
class DelayedWorkerConnectionTest {
  /** The time, in milliseconds, for which a test checks that a worker gets no connection. */
  private static final int NO_CONNECTION_WAIT_MILLIS = 100;

  /** How an endpoint list tells the dispatcher to send no more jobs to the first of two workers. */
  private enum Removal {
    /** The list contains the worker as draining. */
    DRAINING,
    /** The list contains the worker as deleted. */
    DELETED,
    /** The list is complete and does not contain the worker. */
    MISSING;

    /** Creates the endpoint list, with sequence number 43, in which the second worker serves. */
    EndpointList createList(DispatcherHarness harness) {
      if (this == MISSING) {
        return new EndpointList(43, Extent.COMPLETE)
            .with("w1", harness.worker(1).address(), Health.SERVING);
      }
      return harness.endpointList(43, Extent.CHANGES, Health.valueOf(name()), Health.SERVING);
    }
  }

  /**
   * Creates a configuration with a connect timeout of 25 s. The timeout is so long that the
   * dispatcher does not give up a connection to a stalled worker during a test.
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
   * Submits a job and waits until the dispatcher has started an attempt of the job at the first
   * worker. The listener of this worker is stalled, so the attempt waits for its connection.
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
    assertNull(
        firstWorker.nextConnection(NO_CONNECTION_WAIT_MILLIS),
        "the stalled worker must get no connection");
  }

  /**
   * While a job waits for a connection to the first worker, the dispatcher receives an endpoint
   * list that contains this worker as draining or deleted, or does not contain it. The dispatcher
   * ends the attempt at once and sends the job to the second worker.
   *
   * <p>A worker that is deleted or missing must get no new jobs. A draining worker may get jobs
   * only until the end of a grace period. This period starts when the change of the list counts as
   * known to the dispatcher (see {@link loomreel.discovery.WatchTimeouts}). The connection might be
   * established only after the end of the period, so the dispatcher does not wait for it.
   */
  @ParameterizedTest
  @EnumSource(Removal.class)
  void anUnsentJobOfARemovedOrDrainingWorkerGoesToAnotherWorker(Removal removal) throws Exception {
    try (StepControlledServer server = startWithFirstWorkerServing();
        StalledListener stalledWorker = server.worker(0).stall()) {
      SubmittedJob job = submitToFirstWorker(server);

      removal.createList(server).respondTo(server.discovery().nextRequest());

      // In trace lines, MOOT stands for AttemptOutcome.NOT_ATTEMPTED: the attempt ended before the
      // dispatcher sent any part of the job.
      assertEquals(
          "MOOT",
          server.awaitStep(Step.ATTEMPT_ENDED).field("outcome").toString(),
          "the attempt must end before the job is sent");
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
   * In this test, workers recognise a repeated job by its idempotency key for 0.8 s, the
   * deduplication window. The dispatcher sends a retry within this window or not at all. The first
   * worker closes its connection without a response. The retry then waits for a connection to the
   * other worker, which is stalled, until the window has passed. The job fails at once, although
   * the client would wait for 20 s.
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
            "the retry must end before the job is sent");
        server.awaitStep(Step.JOB_FAILED);
        assertEquals(500, job.response().status());
        assertNull(
            stalledWorker.nextConnection(NO_CONNECTION_WAIT_MILLIS),
            "the stalled worker must get no connection");
      }
    }
  }
}
