package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.Socket;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.StalledListener;
import loomreel.program.harness.StepControlledServer;
import loomreel.program.harness.StepControlledServer.ReachedStep;
import loomreel.program.harness.StepControlledServer.Step;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** After a client has closed or reset its connection, nothing more is started for its request. */
@Timeout(120)
class ClientDisconnectTest {
  private static void disconnect(Socket client, boolean reset) throws IOException {
    if (reset) {
      client.setSoLinger(true, 0);
    }
    client.close();
  }

  /** Submits a job that its worker accepts, which the dispatcher has read. */
  private static SubmittedJob submitRunning(StepControlledServer server) throws Exception {
    SubmittedJob job = server.submit("/copy", "");
    server.worker(0).nextRequest().respond(202, "");
    server.reportStatus(job.id(), "w0", "running", ",\"share\":0.1");
    return job;
  }

  private static void assertCancelledAtWorker(StepControlledServer server, SubmittedJob job)
      throws InterruptedException {
    assertEquals(
        "DELETE /jobs/" + job.id() + " HTTP/1.1", server.worker(0).nextRequest().startLine());
  }

  /** Whether or not the deployment allows cancellation: the job has not been sent. */
  @ParameterizedTest
  @CsvSource({"false,false", "true,false", "false,true", "true,true"})
  void aJobIsNotSentOnAConnectionThatIsEstablishedAfterTheDisconnect(
      boolean reset, boolean cancellation) throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(1, new TestConfiguration().cancellation(cancellation));
        StalledListener stalled = server.worker(0).stall()) {
      SubmittedJob job = server.submit("/issue", "");
      assertEquals(job.id(), server.awaitStep(Step.ATTEMPT_STARTED).field("id"));

      disconnect(job.connection(), reset);

      ReachedStep end = server.awaitStep(Step.ATTEMPT_ENDED);
      assertEquals(job.id(), end.field("id"));
      assertEquals("MOOT", end.field("outcome").toString(), "it never ran");
      // The connection for the next job is established, and has that job.
      SubmittedJob next = server.submit("/copy", "");
      HttpMessage first = HttpIo.read(stalled.nextConnection(HttpIo.TIMEOUT_MILLIS));
      assertEquals(next.id(), first.header("X-Call-Id"));
    }
  }

  @Test
  void aRetryIsNotSentOnAConnectionThatIsEstablishedAfterTheDisconnect() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(2, new TestConfiguration().cancellation(false))) {
      SubmittedJob job = server.submit("/copy", "");
      int worker = server.awaitAttemptWorker();
      HttpMessage post = server.worker(worker).nextRequest();
      try (StalledListener stalled = server.worker(1 - worker).stall()) {
        post.connection().close();
        assertEquals(1 - worker, server.awaitAttemptWorker());

        disconnect(job.connection(), false);

        server.awaitStep(Step.JOB_CANCELLED);
        SubmittedJob next = server.submit("/copy", "");
        Socket connection = stalled.nextConnection(HttpIo.TIMEOUT_MILLIS);
        assertEquals(next.id(), HttpIo.read(connection).header("X-Call-Id"));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {20_000, 100_000, 250_000})
  void aDisconnectIsNoticedBehindPipelinedInput(int size) throws Exception {
    try (StepControlledServer server = new StepControlledServer(1)) {
      SubmittedJob job = submitRunning(server);
      String request = HttpIo.lines("POST /copy HTTP/1.1", "X-Padding: " + "x".repeat(500), "");

      HttpIo.write(job.connection(), request.repeat(size / 500));
      disconnect(job.connection(), false);

      assertEquals(job.id(), server.awaitStep(Step.JOB_CANCELLED).field("id"));
      assertCancelledAtWorker(server, job);
    }
  }

  @Test
  void endlessPipelinedInputEndsTheConnection() throws Exception {
    try (StepControlledServer server = new StepControlledServer(1)) {
      SubmittedJob job = submitRunning(server);
      Thread flood = new Thread(() -> writeUntilClosed(job.connection()));

      flood.start();

      assertEquals(413, job.response().status());
      assertCancelledAtWorker(server, job);
      flood.join(HttpIo.TIMEOUT_MILLIS);
      assertFalse(flood.isAlive(), "its input is not read for ever");
    }
  }

  private static void writeUntilClosed(Socket connection) {
    try {
      while (true) {
        HttpIo.write(connection, "x".repeat(8192));
      }
    } catch (IOException closed) {
      // The dispatcher has closed the connection.
    }
  }

  /** Input beyond the limit costs the connection, and not the request before it. */
  @Test
  void aRequestIsAnsweredHoweverMuchInputFollowsIt() throws Exception {
    try (StepControlledServer server = new StepControlledServer(1)) {
      SubmittedJob job = server.submit("/copy", "");
      server.worker(0).nextRequest().respond(202, "");

      HttpIo.write(job.connection(), "x".repeat(100_000));
      server.awaitPendingInputRead();
      server.reportDone(job.id(), "w0", "r");

      HttpMessage response = job.response();
      assertEquals("r", response.body());
      assertEquals("close", response.header("Connection"));
    }
  }

  /** A process without CPU time finds the request and the disconnect at once. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aRequestThatIsReadAfterTheDisconnectIsNotServed(boolean withPipelinedInput)
      throws Exception {
    try (StepControlledServer server = new StepControlledServer(1);
        Socket client = server.connect()) {
      server.awaitPendingInputRead();
      server.drainSteps();

      server.whileLoopIsPaused(
          () -> {
            server.submit(client, "/issue", 20_000, "");
            HttpIo.write(client, withPipelinedInput ? "POST /issue HTTP/1.1\r\n".repeat(2000) : "");
            disconnect(client, false);
          });

      SubmittedJob next = server.submit("/copy", "");
      assertEquals(next.id(), server.awaitStep(Step.JOB_ARRIVED).field("id"));
      assertEquals(next.id(), server.worker(0).nextRequest().header("X-Call-Id"));
    }
  }

  @Test
  void ofABurstOnlyTheJobsOfConnectedClientsAreSent() throws Exception {
    TestConfiguration configuration =
        new TestConfiguration().cancellation(false).connectTimeoutSeconds(20);
    try (StepControlledServer server = new StepControlledServer(1, configuration);
        StalledListener stalled = server.worker(0).stall()) {
      SubmittedJob[] jobs = new SubmittedJob[4];
      for (int i = 0; i < jobs.length; i++) {
        jobs[i] = server.submit("/copy/" + i, "");
      }
      server.awaitPendingInputRead();

      for (int i = 0; i < jobs.length; i += 2) {
        disconnect(jobs[i].connection(), i % 4 == 0);
      }
      for (int i = 0; i < jobs.length; i += 2) {
        server.awaitStep(Step.JOB_CANCELLED);
      }

      for (int i = 1; i < jobs.length; i += 2) {
        Socket connection = stalled.nextConnection(HttpIo.TIMEOUT_MILLIS);
        String target = HttpIo.read(connection).startLine();
        int number = Integer.parseInt(target.replaceAll("POST /copy/(\\d) .*", "$1"));
        assertEquals(1, number % 2, target);
      }
    }
  }
}
