package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.Socket;
import loomreel.program.harness.DispatcherProcess;
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

/**
 * Verifies what the dispatcher does after a client has closed or reset its connection. The
 * dispatcher starts no further work for the client's request. If a worker has accepted the job and
 * the configuration allows cancellation at workers, the dispatcher cancels the job at this worker.
 */
@Timeout(120)
class ClientDisconnectTest {
  /** Closes a client connection: with a TCP reset if {@code reset}, else normally. */
  private static void disconnect(Socket client, boolean reset) throws IOException {
    if (reset) {
      client.setSoLinger(true, 0);
    }
    client.close();
  }

  /**
   * Submits a job and has the worker accept it with status 202. When this method returns, the
   * dispatcher has read the 202, because it reads the 202 before it answers the status update.
   */
  private static SubmittedJob submitRunning(StepControlledServer server) throws Exception {
    SubmittedJob job = server.submit("/copy", "");
    server.worker(0).nextRequest().respond(202, "");
    server.reportStatus(job.id(), "w0", "running", ",\"share\":0.1");
    return job;
  }

  /** Checks that the worker receives a request that cancels the job. */
  private static void assertCancelledAtWorker(StepControlledServer server, SubmittedJob job)
      throws InterruptedException {
    assertEquals(
        "DELETE /jobs/" + job.id() + " HTTP/1.1", server.worker(0).nextRequest().startLine());
  }

  /**
   * The client disconnects while the dispatcher connects to the worker. The dispatcher ends the
   * attempt and does not send the job. The setting that allows cancellation at workers makes no
   * difference, because a job that was not sent need not be cancelled at the worker.
   */
  @ParameterizedTest
  @CsvSource({"false,false", "true,false", "false,true", "true,true"})
  void aJobIsNotSentOnAConnectionThatIsEstablishedAfterTheDisconnect(
      boolean reset, boolean cancellation) throws Exception {
    try (StepControlledServer server =
            new StepControlledServer(1, new TestConfiguration().cancellation(cancellation));
        StalledListener stalledWorker = server.worker(0).stall()) {
      SubmittedJob job = server.submit("/issue", "");
      assertEquals(job.id(), server.awaitStep(Step.ATTEMPT_STARTED).field("id"));

      disconnect(job.connection(), reset);

      ReachedStep end = server.awaitStep(Step.ATTEMPT_ENDED);
      assertEquals(job.id(), end.field("id"));
      // In trace lines, MOOT stands for AttemptOutcome.NOT_ATTEMPTED: the attempt ended before the
      // dispatcher sent any part of the job.
      assertEquals("MOOT", end.field("outcome").toString(), "the job must not run");
      // The worker receives the next job as its first request, so the first job was not sent.
      SubmittedJob next = server.submit("/copy", "");
      HttpMessage first = HttpIo.read(stalledWorker.nextConnection(HttpIo.TIMEOUT_MILLIS));
      assertEquals(next.id(), first.header("X-Call-Id"));
    }
  }

  /**
   * The first worker closes the connection without a response, so the dispatcher retries the job at
   * the other worker. The client disconnects while the dispatcher connects to the other worker.
   */
  @Test
  void aRetryIsNotSentOnAConnectionThatIsEstablishedAfterTheDisconnect() throws Exception {
    try (StepControlledServer server =
        new StepControlledServer(2, new TestConfiguration().cancellation(false))) {
      SubmittedJob job = server.submit("/copy", "");
      int worker = server.awaitAttemptWorker();
      HttpMessage post = server.worker(worker).nextRequest();
      try (StalledListener stalledWorker = server.worker(1 - worker).stall()) {
        post.connection().close();
        assertEquals(1 - worker, server.awaitAttemptWorker());

        disconnect(job.connection(), false);

        server.awaitStep(Step.JOB_CANCELLED);
        SubmittedJob next = server.submit("/copy", "");
        Socket connection = stalledWorker.nextConnection(HttpIo.TIMEOUT_MILLIS);
        assertEquals(next.id(), HttpIo.read(connection).header("X-Call-Id"));
      }
    }
  }

  /**
   * While a job runs, the dispatcher reads the input behind the job's request. It has to do so
   * because it detects the disconnect only at the end of the input.
   *
   * @param minInputBytes the least size of the pipelined input, in bytes
   */
  @ParameterizedTest
  @ValueSource(ints = {20_000, 100_000, 250_000})
  void aDisconnectAfterPipelinedInputCancelsTheJob(int minInputBytes) throws Exception {
    try (StepControlledServer server = new StepControlledServer(1)) {
      SubmittedJob job = submitRunning(server);
      String request = HttpIo.lines("POST /copy HTTP/1.1", "X-Padding: " + "x".repeat(500), "");

      HttpIo.write(job.connection(), request.repeat(minInputBytes / 500));
      disconnect(job.connection(), false);

      assertEquals(job.id(), server.awaitStep(Step.JOB_CANCELLED).field("id"));
      assertCancelledAtWorker(server, job);
    }
  }

  /**
   * The dispatcher buffers a limited amount of pipelined input. It reads and discards input beyond
   * this buffer limit. If the discarded input of a connection exceeds the discard limit of 256 KiB,
   * the dispatcher cancels the job and answers the job's request with status 413.
   */
  @Test
  void pipelinedInputBeyondTheDiscardLimitIsRejectedAndCancelsTheJob() throws Exception {
    try (StepControlledServer server = new StepControlledServer(1)) {
      SubmittedJob job = submitRunning(server);
      Thread writer = new Thread(() -> writeUntilClosed(job.connection()));

      writer.start();

      assertEquals(413, job.response().status());
      assertCancelledAtWorker(server, job);
      writer.join(HttpIo.TIMEOUT_MILLIS);
      assertFalse(writer.isAlive(), "the dispatcher must stop reading the input");
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

  /**
   * The input of 100,000 bytes exceeds the buffer limit for pipelined input, but not the discard
   * limit. The dispatcher discards the input and still answers the current request. The response
   * announces that the dispatcher closes the connection.
   */
  @Test
  void aRequestIsAnsweredIfPipelinedInputExceedsTheBuffer() throws Exception {
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

  /**
   * If the dispatcher gets no CPU time for a while, a request and the disconnect of its client may
   * both have arrived when the dispatcher reads the connection. The test pauses the event loop to
   * reproduce this case.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aRequestThatIsReadTogetherWithTheDisconnectIsNotServed(boolean withPipelinedInput)
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

  /**
   * Four jobs wait for connections to a worker. The client of job 0 resets its connection, and the
   * client of job 2 closes its connection. The dispatcher sends only jobs 1 and 3.
   */
  @Test
  void onlyWaitingJobsOfConnectedClientsAreSent() throws Exception {
    TestConfiguration configuration =
        new TestConfiguration().cancellation(false).connectTimeoutSeconds(20);
    try (StepControlledServer server = new StepControlledServer(1, configuration);
        StalledListener stalledWorker = server.worker(0).stall()) {
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
        Socket connection = stalledWorker.nextConnection(HttpIo.TIMEOUT_MILLIS);
        String target = HttpIo.read(connection).startLine();
        int number = Integer.parseInt(target.replaceAll("POST /copy/(\\d) .*", "$1"));
        assertEquals(1, number % 2, target);
      }
    }
  }

  /**
   * Guards against a second run of a job whose client has disconnected and comes again with the
   * same id. A job that may run twice is accepted again.
   */
  @ParameterizedTest
  @CsvSource({"/issue,true", "/copy,false"})
  void anIdThatMayHaveRunIsNotAcceptedAgainIfItMustNotRunTwice(String path, boolean isRejected)
      throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob job = program.submit(path, "");
      program.worker(0).nextRequest().respond(202, "");
      disconnect(job.connection(), false);
      assertEquals(
          "DELETE /jobs/" + job.id() + " HTTP/1.1", program.worker(0).nextRequest().startLine());

      SubmittedJob again = program.submitAgain(job, path);

      if (isRejected) {
        assertEquals(400, again.response().status());
      } else {
        program.serveNextJob(0, "second");
        assertEquals("second", again.response().body());
      }
    }
  }

  /** The same, where the client comes to the other process of an upgrade, or after the upgrade. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void anIdThatMayHaveRunIsNotAcceptedByTheSuccessor(boolean isUpgradeOver) throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(1)) {
      SubmittedJob job = program.submit("/issue", "");
      program.worker(0).nextRequest().respond(202, "");
      disconnect(job.connection(), false);
      assertEquals(
          "DELETE /jobs/" + job.id() + " HTTP/1.1", program.worker(0).nextRequest().startLine());
      program.startSuccessor();
      program.instance(0).destroy();
      program.awaitLog("graceful shutdown started successor=true");
      if (isUpgradeOver) {
        program.awaitExit(0);
      }

      assertEquals(400, program.submitAgain(job, "/issue").response().status());
      assertFalse(program.worker(0).hasPendingRequest());
    }
  }

  /**
   * Guards against jobs that are sent on although their client has closed its connection, behind
   * more input than the dispatcher reads and discards.
   */
  @Test
  void aRequestIsNotServedIfTheDisconnectIsBehindTooMuchInput() throws Exception {
    try (StepControlledServer server = new StepControlledServer(1);
        Socket client = server.connect()) {
      server.awaitPendingInputRead();
      server.drainSteps();

      server.whileLoopIsPaused(
          () -> {
            server.submit(client, "/issue", 20_000, "");
            HttpIo.write(client, "POST /issue HTTP/1.1\r\n".repeat(25_000));
            disconnect(client, false);
          });

      SubmittedJob next = server.submit("/copy", "");
      assertEquals(next.id(), server.awaitStep(Step.JOB_ARRIVED).field("id"));
      assertEquals(next.id(), server.worker(0).nextRequest().header("X-Call-Id"));
    }
  }
}
