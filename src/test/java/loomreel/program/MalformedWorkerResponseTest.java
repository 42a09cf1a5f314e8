package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import loomreel.program.StepControlledServer.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Answers of copy workers that are cut, spoilt, doubled or without end, and what they prove. */
@Timeout(120)
class MalformedWorkerResponseTest {
  /** What follows the head of a 202; none of it changes that the job was taken. */
  private enum Rest {
    CUT("Content-Length: 10\r\n\r\nabc", true),
    NOT_THERE("Content-Length: 10\r\n\r\n", true),
    TOO_LONG("Content-Length: 1000000\r\n\r\n", false),
    GARBAGE("Transfer-Encoding: chunked\r\n\r\nzz\r\n", false),
    TWO_LENGTHS("Content-Length: 1\r\nContent-Length: 2\r\n\r\n", false),
    ENDLESS(
        "Transfer-Encoding: chunked\r\n\r\n" + ("1000\r\n" + "x".repeat(4096) + "\r\n").repeat(17),
        false);

    final String bytes;
    final boolean ends;

    Rest(String bytes, boolean ends) {
      this.bytes = bytes;
      this.ends = ends;
    }
  }

  @ParameterizedTest
  @EnumSource(Rest.class)
  void aJobIsTakenOnceTheHeadSaysSo(Rest rest) throws Exception {
    try (StepControlledServer server = new StepControlledServer(2)) {
      SubmittedJob job = server.submit("/issue", "");
      int at = server.awaitAttemptWorker();
      HttpMessage post = server.workers.get(at).nextRequest();
      HttpIo.write(post.connection(), "HTTP/1.1 202 x\r\n" + rest.bytes);
      if (rest.ends) {
        post.connection().shutdownOutput();
      }
      server.workers.get(at).awaitClosed(post.connection());
      server.reportStatus(job.id(), "w" + at, "done", ",\"result\":\"once\"");
      assertEquals("once", job.response().body());
      assertFalse(
          server.workers.get(1 - at).hasPendingRequest(),
          "it was not lost, so nobody else gets it");
    }
  }

  /**
   * A connection that says nothing behind the head of a 202 is not kept for as long as the job may
   * take.
   */
  @Test
  void aBodyThatNeverComesHoldsNoConnection() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(1, new TestConfiguration().connectTimeoutSeconds(0.25))) {
      SubmittedJob job = server.submit("/issue", "");
      HttpMessage post = server.workers.get(0).nextRequest();
      HttpIo.write(post.connection(), "HTTP/1.1 202 x\r\nTransfer-Encoding: chunked\r\n\r\n");
      server.workers.get(0).awaitClosed(post.connection());
      server.reportStatus(job.id(), "w0", "done", ",\"result\":\"r\"");
      assertEquals("r", job.response().body());
    }
  }

  /** Half a refusal proves nothing: an issue may have run. */
  @Test
  void aRefusalThatIsCutIsNoProof() throws Exception {
    try (StepControlledServer server = new StepControlledServer(2)) {
      SubmittedJob job = server.submit("/issue", "");
      int at = server.awaitAttemptWorker();
      HttpMessage post = server.workers.get(at).nextRequest();
      HttpIo.write(
          post.connection(), "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 10\r\n\r\nabc");
      post.connection().close();
      assertEquals(500, job.response().status());
      assertFalse(server.workers.get(1 - at).hasPendingRequest());
    }
  }

  /**
   * The client leaves while the 202 lies here unread: what the copy worker has taken is asked to
   * end.
   */
  @Test
  void aCancelThatCrossesThe202IsSaidAfterIt() throws Exception {
    try (StepControlledServer server = new StepControlledServer(1)) {
      SubmittedJob job = server.submit("/copy", "");
      HttpMessage post = server.workers.get(0).nextRequest();
      server.onStep(Step.CANCELLATION_SENT, () -> post.respond(202, ""));
      job.connection().close();
      assertEquals(
          "DELETE /jobs/" + job.id() + " HTTP/1.1",
          server.workers.get(0).nextRequest().startLine());
    }
  }

  /** `done` crosses the end of its attempt: it is answered, and acted on once if at all. */
  @Test
  void doneThatCrossesALostAttemptIsActedOnOnce() throws Exception {
    try (StepControlledServer server = new StepControlledServer(2)) {
      SubmittedJob job = server.submit("/copy", "");
      int at = server.awaitAttemptWorker();
      HttpMessage first = server.workers.get(at).nextRequest();
      first.respond(202, "");
      server.reportStatus(job.id(), "w" + at, "lost", "");
      HttpMessage second = server.workers.get(1 - at).nextRequest();
      assertEquals(
          200, server.reportStatus(job.id(), "w" + at, "done", ",\"result\":\"of the lost one\""));
      assertEquals(200, server.reportStatus(job.id(), "w" + at, "returned", ""));
      second.respond(202, "");
      assertEquals(
          200,
          server.reportStatus(job.id(), "w" + (1 - at), "done", ",\"result\":\"of the second\""));
      assertEquals(
          200, server.reportStatus(job.id(), "w" + (1 - at), "done", ",\"result\":\"once more\""));
      assertEquals("of the second", job.response().body());
    }
  }
}
