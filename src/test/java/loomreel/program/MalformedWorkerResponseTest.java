package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

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
    try (StepControlledServer server = new StepControlledServer(2, c -> c)) {
      DispatcherHarness.Job job = server.job("/issue", "");
      int at = server.awaitSend();
      Http.Message post = server.workers.get(at).next();
      Http.write(post.from(), "HTTP/1.1 202 x\r\n" + rest.bytes);
      if (rest.ends) {
        post.from().shutdownOutput();
      }
      server.workers.get(at).awaitEnd(post.from());
      server.news(job.id(), "w" + at, "done", ",\"result\":\"once\"");
      assertEquals("once", job.answer().body());
      assertFalse(server.workers.get(1 - at).wasAsked(), "it was not lost, so nobody else gets it");
    }
  }

  /**
   * A connection that says nothing behind the head of a 202 is not kept for as long as the job may
   * take.
   */
  @Test
  void aBodyThatNeverComesHoldsNoConnection() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(
            1, c -> c.replace("\"ConnectTimeoutS\":5", "\"ConnectTimeoutS\":0.25"))) {
      DispatcherHarness.Job job = server.job("/issue", "");
      Http.Message post = server.workers.get(0).next();
      Http.write(post.from(), "HTTP/1.1 202 x\r\nTransfer-Encoding: chunked\r\n\r\n");
      server.workers.get(0).awaitEnd(post.from());
      server.news(job.id(), "w0", "done", ",\"result\":\"r\"");
      assertEquals("r", job.answer().body());
    }
  }

  /** Half a refusal proves nothing: an issue may have run. */
  @Test
  void aRefusalThatIsCutIsNoProof() throws Exception {
    try (StepControlledServer server = new StepControlledServer(2, c -> c)) {
      DispatcherHarness.Job job = server.job("/issue", "");
      int at = server.awaitSend();
      Http.Message post = server.workers.get(at).next();
      Http.write(post.from(), "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 10\r\n\r\nabc");
      post.from().close();
      assertEquals(500, job.answer().status());
      assertFalse(server.workers.get(1 - at).wasAsked());
    }
  }

  /**
   * The client leaves while the 202 lies here unread: what the copy worker has taken is asked to
   * end.
   */
  @Test
  void aCancelThatCrossesThe202IsSaidAfterIt() throws Exception {
    try (StepControlledServer server = new StepControlledServer(1, c -> c)) {
      DispatcherHarness.Job job = server.job("/copy", "");
      Http.Message post = server.workers.get(0).next();
      server.at("cancel", () -> post.answer(202, ""));
      job.socket().close();
      assertEquals("DELETE /jobs/" + job.id() + " HTTP/1.1", server.workers.get(0).next().first());
    }
  }

  /** `done` crosses the end of its attempt: it is answered, and acted on once if at all. */
  @Test
  void doneThatCrossesALostAttemptIsActedOnOnce() throws Exception {
    try (StepControlledServer server = new StepControlledServer(2, c -> c)) {
      DispatcherHarness.Job job = server.job("/copy", "");
      int at = server.awaitSend();
      Http.Message first = server.workers.get(at).next();
      first.answer(202, "");
      server.news(job.id(), "w" + at, "lost", "");
      Http.Message second = server.workers.get(1 - at).next();
      assertEquals(200, server.news(job.id(), "w" + at, "done", ",\"result\":\"of the lost one\""));
      assertEquals(200, server.news(job.id(), "w" + at, "returned", ""));
      second.answer(202, "");
      assertEquals(
          200, server.news(job.id(), "w" + (1 - at), "done", ",\"result\":\"of the second\""));
      assertEquals(200, server.news(job.id(), "w" + (1 - at), "done", ",\"result\":\"once more\""));
      assertEquals("of the second", job.answer().body());
    }
  }
}
