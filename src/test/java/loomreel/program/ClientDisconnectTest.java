package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import loomreel.program.StepControlledServer.Step;
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
            new StepControlledServer(1, new TestConfiguration().cancellation(cancelling));
        StalledListener late = server.workers.get(0).stall()) {
      SubmittedJob job = server.submit("/issue", "");
      assertEquals(job.id(), server.awaitStep(Step.ATTEMPT_STARTED).field("id"));
      leave(job.connection(), reset);
      StepControlledServer.ReachedStep end = server.awaitStep(Step.ATTEMPT_ENDED);
      assertEquals(job.id(), end.field("id"));
      assertEquals("MOOT", end.field("outcome").toString(), "it never ran");
      // Another one's connection comes up, and brings what is its own.
      SubmittedJob next = server.submit("/copy", "");
      HttpMessage first = HttpIo.read(late.nextConnection(HttpIo.TIMEOUT_MILLIS));
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
        new StepControlledServer(2, new TestConfiguration().cancellation(false))) {
      SubmittedJob job = server.submit("/copy", "");
      int at = server.awaitAttemptWorker();
      HttpMessage post = server.workers.get(at).nextRequest();
      try (StalledListener late = server.workers.get(1 - at).stall()) {
        post.connection().close();
        assertEquals("w" + (1 - at), server.awaitStep(Step.ATTEMPT_STARTED).field("worker"));
        leave(job.connection(), false);
        server.awaitStep(Step.JOB_CANCELLED);
        SubmittedJob next = server.submit("/copy", "");
        Socket up = late.nextConnection(HttpIo.TIMEOUT_MILLIS);
        assertEquals(next.id(), HttpIo.read(up).header("X-Call-Id"));
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
    try (StepControlledServer server = new StepControlledServer(1)) {
      SubmittedJob job = server.submit("/copy", "");
      server.workers.get(0).nextRequest().respond(202, "");
      server.reportStatus(job.id(), "w0", "running", ",\"share\":0.1");
      HttpIo.write(
          job.connection(),
          ("POST /copy HTTP/1.1\r\nX-Padding: " + "x".repeat(500) + "\r\n\r\n").repeat(size / 500));
      leave(job.connection(), false);
      assertEquals(job.id(), server.awaitStep(Step.JOB_CANCELLED).field("id"));
      assertEquals(
          "DELETE /jobs/" + job.id() + " HTTP/1.1",
          server.workers.get(0).nextRequest().startLine());
    }
  }

  /**
   * Whoever sends without end behind a request is told that it is too much, and holds nothing any
   * more.
   */
  @Test
  void aFloodBehindARequestIsCutOff() throws Exception {
    try (StepControlledServer server = new StepControlledServer(1)) {
      SubmittedJob job = server.submit("/copy", "");
      server.workers.get(0).nextRequest().respond(202, "");
      server.reportStatus(job.id(), "w0", "running", ",\"share\":0.1");
      Thread flood =
          new Thread(
              () -> {
                try {
                  while (true) {
                    HttpIo.write(job.connection(), "x".repeat(8192));
                  }
                } catch (IOException closed) {
                  // As it should be.
                }
              });
      flood.start();
      assertEquals(413, job.response().status());
      assertEquals(
          "DELETE /jobs/" + job.id() + " HTTP/1.1",
          server.workers.get(0).nextRequest().startLine());
      flood.join(HttpIo.TIMEOUT_MILLIS);
      assertTrue(!flood.isAlive(), "it is not listened to for ever");
    }
  }

  /**
   * What was sent ahead beyond what is kept costs the connection, and not the request that is being
   * served.
   */
  @Test
  void aRequestIsAnsweredHoweverMuchComesBehindIt() throws Exception {
    try (StepControlledServer server = new StepControlledServer(1)) {
      SubmittedJob job = server.submit("/copy", "");
      HttpMessage post = server.workers.get(0).nextRequest();
      post.respond(202, "");
      HttpIo.write(job.connection(), "x".repeat(100_000));
      server.awaitPendingInputRead();
      server.reportStatus(job.id(), "w0", "done", ",\"result\":\"r\"");
      HttpMessage answer = job.response();
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
    try (StepControlledServer server = new StepControlledServer(1);
        Socket client = server.connect()) {
      server.awaitPendingInputRead();
      server.drainSteps();
      server.whileLoopIsPaused(
          () -> {
            server.submit(client, "/issue", 20_000, "");
            HttpIo.write(client, much ? "POST /issue HTTP/1.1\r\n".repeat(2000) : "");
            leave(client, false);
          });
      SubmittedJob next = server.submit("/copy", "");
      assertEquals(next.id(), server.awaitStep(Step.JOB_ARRIVED).field("id"));
      assertEquals(next.id(), server.workers.get(0).nextRequest().header("X-Call-Id"));
    }
  }

  /** Half a burst of clients leave while all of their jobs wait; the others are served. */
  @Test
  void ofABurstOnlyThoseAreSentOnWhoseClientsAreThere() throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(
                1, new TestConfiguration().cancellation(false).connectTimeoutSeconds(20));
        StalledListener late = server.workers.get(0).stall()) {
      SubmittedJob[] jobs = new SubmittedJob[4];
      for (int i = 0; i < jobs.length; i++) {
        jobs[i] = server.submit("/copy/" + i, "");
      }
      server.awaitPendingInputRead();
      for (int i = 0; i < jobs.length; i += 2) {
        leave(jobs[i].connection(), i % 4 == 0);
      }
      for (int i = 0; i < jobs.length; i += 2) {
        server.awaitStep(Step.JOB_CANCELLED);
      }
      for (int i = 1; i < jobs.length; i += 2) {
        String target = HttpIo.read(late.nextConnection(HttpIo.TIMEOUT_MILLIS)).startLine();
        assertEquals(
            1, Integer.parseInt(target.replaceAll("POST /copy/(\\d) .*", "$1")) % 2, target);
      }
    }
  }
}
