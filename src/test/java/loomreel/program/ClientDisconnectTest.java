package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client that closes or is reset has gone: whatever its request waits for, nothing is begun for
 * it any more.
 */
@Timeout(120)
class ClientDisconnectTest {
  private static void leave(Socket client, boolean reset) throws Exception {
    if (reset) {
      client.setSoLinger(true, 0);
    }
    client.close();
  }

  /**
   * A send waits for its connection: what has not left by then does not, whether or not the site
   * allows to cancel.
   */
  @ParameterizedTest
  @CsvSource({"false,false", "true,false", "false,true", "true,true"})
  void aJobIsNotSentOnAConnectionThatComesUpAfterItsClientLeft(boolean reset, boolean cancelling)
      throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(
                1, c -> c.replace("\"Cancelling\":true", "\"Cancelling\":" + cancelling));
        StalledListener late = server.workers.get(0).lateFromNowOn()) {
      DispatcherHarness.Job job = server.job("/issue", "");
      assertEquals(job.id(), server.await("send").field("id"));
      leave(job.socket(), reset);
      StepControlledServer.Step end = server.await("end");
      assertEquals(job.id(), end.field("id"));
      assertEquals("MOOT", end.field("outcome").toString(), "it never ran");
      // Another one's connection comes up, and brings what is its own.
      DispatcherHarness.Job next = server.job("/copy", "");
      Http.Message first = Http.read(late.next(Http.PATIENCE_MS));
      assertEquals(next.id(), first.header("X-Call-Id"));
    }
  }

  /**
   * The same where the job was withdrawn because its client left while a further attempt was on its
   * way.
   */
  @Test
  void aFurtherAttemptIsTakenBackAsWell() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(
            2, c -> c.replace("\"Cancelling\":true", "\"Cancelling\":false"))) {
      DispatcherHarness.Job job = server.job("/copy", "");
      int at = server.awaitSend();
      Http.Message post = server.workers.get(at).next();
      try (StalledListener late = server.workers.get(1 - at).lateFromNowOn()) {
        post.from().close();
        assertEquals("w" + (1 - at), server.await("send").field("worker"));
        leave(job.socket(), false);
        server.await("withdrawn");
        DispatcherHarness.Job next = server.job("/copy", "");
        Socket up = late.next(Http.PATIENCE_MS);
        assertEquals(next.id(), Http.read(up).header("X-Call-Id"));
      }
    }
  }

  /**
   * Much may lie between a request and the end of its client: it is read, or the end would not be
   * seen.
   */
  @ParameterizedTest
  @ValueSource(ints = {20_000, 100_000, 250_000})
  void theEndIsSeenBehindMuchThatWasSentAhead(int size) throws Exception {
    try (StepControlledServer server = new StepControlledServer(1, UnaryOperator.identity())) {
      DispatcherHarness.Job job = server.job("/copy", "");
      server.workers.get(0).next().answer(202, "");
      server.news(job.id(), "w0", "running", ",\"share\":0.1");
      Http.write(
          job.socket(),
          ("POST /copy HTTP/1.1\r\nX-Padding: " + "x".repeat(500) + "\r\n\r\n").repeat(size / 500));
      leave(job.socket(), false);
      assertEquals(job.id(), server.await("withdrawn").field("id"));
      assertEquals("DELETE /jobs/" + job.id() + " HTTP/1.1", server.workers.get(0).next().first());
    }
  }

  /**
   * Whoever sends without end behind a request is told that it is too much, and holds nothing any
   * more.
   */
  @Test
  void aFloodBehindARequestIsCutOff() throws Exception {
    try (StepControlledServer server = new StepControlledServer(1, UnaryOperator.identity())) {
      DispatcherHarness.Job job = server.job("/copy", "");
      server.workers.get(0).next().answer(202, "");
      server.news(job.id(), "w0", "running", ",\"share\":0.1");
      Thread flood =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Http.write(job.socket(), "x".repeat(8192));
                  }
                } catch (IOException closed) {
                  // As it should be.
                }
              });
      flood.start();
      assertEquals(413, job.answer().status());
      assertEquals("DELETE /jobs/" + job.id() + " HTTP/1.1", server.workers.get(0).next().first());
      flood.join(Http.PATIENCE_MS);
      assertTrue(!flood.isAlive(), "it is not listened to for ever");
    }
  }

  /**
   * What was sent ahead beyond what is kept costs the connection, and not the request that is being
   * served.
   */
  @Test
  void aRequestIsAnsweredHoweverMuchComesBehindIt() throws Exception {
    try (StepControlledServer server = new StepControlledServer(1, UnaryOperator.identity())) {
      DispatcherHarness.Job job = server.job("/copy", "");
      Http.Message post = server.workers.get(0).next();
      post.answer(202, "");
      Http.write(job.socket(), "x".repeat(100_000));
      server.settle();
      server.news(job.id(), "w0", "done", ",\"result\":\"r\"");
      Http.Message answer = job.answer();
      assertEquals("r", answer.body());
      assertEquals("close", answer.header("Connection"));
    }
  }

  /**
   * A process that gets no processor for a while finds requests and their clients' ends together.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aRequestWhoseClientLeftBeforeItWasReadIsNotServed(boolean much) throws Exception {
    try (StepControlledServer server = new StepControlledServer(1, UnaryOperator.identity());
        Socket client = server.connect()) {
      server.settle();
      server.taken();
      server.between(
          () -> {
            server.job(client, "/issue", 20_000, "");
            Http.write(client, much ? "POST /issue HTTP/1.1\r\n".repeat(2000) : "");
            leave(client, false);
          });
      DispatcherHarness.Job next = server.job("/copy", "");
      assertEquals(next.id(), server.await("arrival").field("id"));
      assertEquals(next.id(), server.workers.get(0).next().header("X-Call-Id"));
    }
  }

  /** Half a burst of clients leave while all of their jobs wait; the others are served. */
  @Test
  void ofABurstOnlyThoseAreSentOnWhoseClientsAreThere() throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(
                1,
                c ->
                    c.replace("\"Cancelling\":true", "\"Cancelling\":false")
                        .replace("\"ConnectTimeoutS\":5", "\"ConnectTimeoutS\":20"));
        StalledListener late = server.workers.get(0).lateFromNowOn()) {
      DispatcherHarness.Job[] jobs = new DispatcherHarness.Job[4];
      for (int i = 0; i < jobs.length; i++) {
        jobs[i] = server.job("/copy/" + i, "");
      }
      server.settle();
      for (int i = 0; i < jobs.length; i += 2) {
        leave(jobs[i].socket(), i % 4 == 0);
      }
      for (int i = 0; i < jobs.length; i += 2) {
        server.await("withdrawn");
      }
      for (int i = 1; i < jobs.length; i += 2) {
        String target = Http.read(late.next(Http.PATIENCE_MS)).first();
        assertEquals(
            1, Integer.parseInt(target.replaceAll("POST /copy/(\\d) .*", "$1")) % 2, target);
      }
    }
  }
}
