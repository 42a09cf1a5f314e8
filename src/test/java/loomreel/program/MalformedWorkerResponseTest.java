package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.StepControlledServer;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Verifies how the dispatcher handles worker messages that are truncated, malformed, repeated or
 * endless. The tests also verify whether the dispatcher concludes from a message that the worker
 * has accepted the job, or that the job may have run.
 */
@Timeout(120)
class MalformedWorkerResponseTest {
  /**
   * The remainder of a response with the status 202, after the status line. Whatever the remainder
   * is, the dispatcher regards the job as accepted.
   */
  private enum Remainder {
    /** A body of 10 bytes, of which only 3 arrive. */
    CUT("Content-Length: 10\r\n\r\nabc", true),
    /** A body of 10 bytes, of which none arrives. */
    MISSING("Content-Length: 10\r\n\r\n", true),
    /** A body of 1,000,000 bytes, which exceeds the maximum size of 65,536 bytes. */
    TOO_LONG("Content-Length: 1000000\r\n\r\n", false),
    /** A chunk whose size is not a number. */
    GARBAGE("Transfer-Encoding: chunked\r\n\r\nzz\r\n", false),
    /** Two Content-Length headers with different values. */
    TWO_LENGTHS("Content-Length: 1\r\nContent-Length: 2\r\n\r\n", false),
    /** A body of 17 chunks of 4,096 bytes, which exceeds the maximum size of 65,536 bytes. */
    ENDLESS(
        "Transfer-Encoding: chunked\r\n\r\n" + ("1000\r\n" + "x".repeat(4096) + "\r\n").repeat(17),
        false);

    private final String bytes;

    /** Whether the worker shuts down its output after it has sent the bytes. */
    private final boolean shutsDownOutput;

    Remainder(String bytes, boolean shutsDownOutput) {
      this.bytes = bytes;
      this.shutsDownOutput = shutsDownOutput;
    }
  }

  /**
   * A job to which the worker has not responded yet.
   *
   * @param worker the index of the worker that has received the job
   * @param post the request with the job
   */
  private record ReceivedJob(SubmittedJob job, int worker, HttpMessage post) {
    /** Submits a job and waits until a worker has received it. */
    static ReceivedJob submit(StepControlledServer server, String path) throws Exception {
      SubmittedJob job = server.submit(path, "");
      int worker = server.awaitAttemptWorker();
      return new ReceivedJob(job, worker, server.worker(worker).nextRequest());
    }
  }

  @ParameterizedTest
  @EnumSource(Remainder.class)
  void aResponseWithStatus202AcceptsTheJobWhateverFollows(Remainder remainder) throws Exception {
    try (StepControlledServer server = new StepControlledServer(2)) {
      ReceivedJob received = ReceivedJob.submit(server, "/issue");

      HttpIo.write(received.post.connection(), "HTTP/1.1 202 x\r\n" + remainder.bytes);
      if (remainder.shutsDownOutput) {
        received.post.connection().shutdownOutput();
      }

      server.worker(received.worker).awaitClosed(received.post.connection());
      server.reportDone(received.job.id(), "w" + received.worker, "once");
      assertEquals("once", received.job.response().body());
      assertFalse(
          server.worker(1 - received.worker).hasPendingRequest(), "no other worker gets the job");
    }
  }

  /**
   * A worker answers an invalid job with 400. A retry would be useless, because every other worker
   * would find the job invalid as well.
   */
  @Test
  void aJobThatAWorkerAnswersWith400IsNotRetried() throws Exception {
    try (StepControlledServer server = new StepControlledServer(2)) {
      ReceivedJob received = ReceivedJob.submit(server, "/copy");

      received.post.respond(400, "");

      assertEquals(500, received.job.response().status());
      assertEquals(1, server.stepCount(StepControlledServer.Step.ATTEMPT_STARTED));
      assertFalse(server.worker(1 - received.worker).hasPendingRequest());
    }
  }

  /**
   * The dispatcher waits for the body of a response for a multiple of the connect timeout. The test
   * therefore configures a short connect timeout.
   */
  @Test
  void aConnectionWhoseResponseBodyNeverArrivesIsClosed() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(1, new TestConfiguration().connectTimeoutSeconds(0.25))) {
      SubmittedJob job = server.submit("/issue", "");
      HttpMessage post = server.worker(0).nextRequest();

      HttpIo.write(post.connection(), "HTTP/1.1 202 x\r\nTransfer-Encoding: chunked\r\n\r\n");

      server.worker(0).awaitClosed(post.connection());
      server.reportDone(job.id(), "w0", "r");
      assertEquals("r", job.response().body());
    }
  }

  /** A truncated rejection does not prove that the job has not run. */
  @Test
  void aNonIdempotentJobIsNotRetriedAfterATruncatedRejection() throws Exception {
    try (StepControlledServer server = new StepControlledServer(2)) {
      ReceivedJob received = ReceivedJob.submit(server, "/issue");

      HttpIo.write(
          received.post.connection(),
          "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 10\r\n\r\nabc");
      received.post.connection().close();

      assertEquals(500, received.job.response().status());
      assertFalse(server.worker(1 - received.worker).hasPendingRequest());
    }
  }

  /**
   * The client disconnects, which cancels the job, before the dispatcher has read the worker's 202
   * response. The worker still gets a DELETE request for the job.
   */
  @Test
  void aJobCancelledBeforeThe202IsReadIsCancelledAtTheWorker() throws Exception {
    try (StepControlledServer server = new StepControlledServer(1)) {
      SubmittedJob job = server.submit("/copy", "");
      HttpMessage post = server.worker(0).nextRequest();
      server.onStep(StepControlledServer.Step.CANCELLATION_SENT, () -> post.respond(202, ""));

      job.connection().close();

      assertEquals(
          "DELETE /jobs/" + job.id() + " HTTP/1.1", server.worker(0).nextRequest().startLine());
    }
  }

  /**
   * The first worker reports its attempt as lost and sends further status updates afterwards. The
   * second worker, which gets the retry, reports its result twice.
   */
  @Test
  void onlyTheResultOfTheRetryIsUsedAfterAnAttemptIsLost() throws Exception {
    try (StepControlledServer server = new StepControlledServer(2)) {
      ReceivedJob received = ReceivedJob.submit(server, "/copy");
      String id = received.job.id();
      String firstWorker = "w" + received.worker;
      String secondWorker = "w" + (1 - received.worker);
      received.post.respond(202, "");
      server.reportStatus(id, firstWorker, "lost", "");
      HttpMessage retry = server.worker(1 - received.worker).nextRequest();

      assertEquals(200, server.reportDone(id, firstWorker, "of the lost one"));
      assertEquals(200, server.reportStatus(id, firstWorker, "returned", ""));
      retry.respond(202, "");
      assertEquals(200, server.reportDone(id, secondWorker, "of the second"));
      assertEquals(200, server.reportDone(id, secondWorker, "once more"));

      assertEquals("of the second", received.job.response().body());
    }
  }
}
