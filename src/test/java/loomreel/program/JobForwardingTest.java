package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.program.harness.EndpointList.Health;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.StubHttpServer;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import loomreel.program.harness.TestConfiguration.LoadReports;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies that the dispatcher forwards jobs to workers and returns the results to the clients. If
 * an attempt fails and a retry is allowed, the dispatcher sends the job to another worker.
 */
@Timeout(120)
class JobForwardingTest {
  @Test
  void aJobIsForwardedUnchangedAndItsResultIsReturned() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      assertEquals(200, program.readinessStatus());

      SubmittedJob job = program.submit("/copy/page?n=1", "the body");
      HttpMessage post = program.worker(0).nextRequest();
      post.respond(202, "");

      assertEquals("POST /copy/page?n=1 HTTP/1.1", post.startLine());
      assertEquals("the body", post.body());
      assertEquals(job.id(), post.header("X-Call-Id"));
      int budgetMillis = Integer.parseInt(post.header("X-Budget-Ms"));
      assertTrue(budgetMillis > 0 && budgetMillis <= 20_000, "budget " + budgetMillis);
      assertEquals(200, program.reportStatus(job.id(), "w0", "running", ",\"share\":0.4"));
      assertEquals(200, program.reportDone(job.id(), "w0", "r\\u00e9sultat"));
      HttpMessage response = job.response();
      assertEquals(200, response.status());
      assertEquals("résultat", response.body());
    }
  }

  /**
   * A job of class {@code copy} is idempotent and is retried after each outcome that the test
   * checks for this class. A job of class {@code issue} must not run twice. It is retried only if
   * the worker has rejected it or has returned it unstarted. Both prove that the job has not run.
   *
   * <p>The outcomes {@code lost} and {@code returned} are states that the worker reports in a
   * status update after it has accepted the job.
   */
  @ParameterizedTest
  // Columns: request class, outcome of the first attempt, status of the response to the client.
  @CsvSource({
    "issue,reset,500",
    "issue,500,500",
    "issue,lost,500",
    "issue,rejected,200",
    "issue,returned,200",
    "copy,reset,200",
    "copy,500,200",
    "copy,lost,200",
    "copy,garbage,200"
  })
  void aJobIsRetriedIfItIsIdempotentOrHasNotRun(String requestClass, String outcome, int status)
      throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      SubmittedJob job = program.submit("/" + requestClass, "b");
      int worker = program.awaitWorkerWithRequest();
      HttpMessage post = program.worker(worker).nextRequest();

      switch (outcome) {
        case "reset" -> post.connection().close();
        case "500" -> post.respond(500, "");
        case "rejected" -> post.respond(503, "", "X-Rejected: 1");
        case "garbage" -> HttpIo.write(post.connection(), "\0\1 what?\r\n\r\n");
        default -> {
          post.respond(202, "");
          program.reportStatus(job.id(), "w" + worker, outcome, "");
        }
      }

      if (status == 200) {
        program.serveNextJob(1 - worker, "elsewhere");
      }
      assertEquals(status, job.response().status());
      assertFalse(program.worker(0).hasPendingRequest());
      assertFalse(program.worker(1).hasPendingRequest());
    }
  }

  @Test
  void anUnreachableWorkerIsSkipped() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      program.worker(0).close();

      for (int i = 0; i < 6; i++) {
        SubmittedJob job = program.submit("/issue", "");
        program.serveNextJob(1, "there");
        assertEquals("there", job.response().body());
      }
    }
  }

  /**
   * If an idempotent job has no result at its deadline, the client gets a 503 with a Retry-After
   * header. If {@code workerAccepts} is true, the worker accepts the job, but reports no result. If
   * it is false, the worker does not respond to the job at all.
   *
   * <p>Then the test submits another job on the same connection, with a deadline of 1 ms. That job
   * is not served either.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void anIdempotentJobWithoutAResultIsAnsweredWith503AtItsDeadline(boolean workerAccepts)
      throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob job = program.submit(program.connect(), "/copy", 2000, "");
      HttpMessage post = program.worker(0).nextRequest();
      if (workerAccepts) {
        post.respond(202, "");
      }

      HttpMessage response = job.response();
      SubmittedJob expiringJob = program.submit(job.connection(), "/copy", 1, "");

      assertEquals(503, response.status(), "a 503 allows the client to submit the job again");
      assertEquals("1.500", response.header("Retry-After"));
      assertNotEquals(200, expiringJob.response().status());
    }
  }

  @Test
  void jobsAreSentToTheNewAddressOfAWorker() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      StubHttpServer previousWorker = program.replaceWorker(0);
      program
          .endpointList(42, Extent.COMPLETE, Health.SERVING)
          .respondTo(program.discovery().nextRequest());
      program.discovery().nextRequest();

      SubmittedJob job = program.submit("/copy", "");
      program.serveNextJob(0, "moved");

      assertEquals("moved", job.response().body());
      assertFalse(previousWorker.hasPendingRequest());
      previousWorker.close();
    }
  }

  @Test
  void aChunkedBodyThatArrivesByteByByteIsForwardedCompletely() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket client = program.connect()) {
      String head =
          HttpIo.lines(
              "POST /copy HTTP/1.1",
              "Host: x",
              "X-Call-Id: 00000000000000aa",
              "X-Budget-Ms: 20000",
              "Transfer-Encoding: chunked",
              "");
      String chunks = HttpIo.lines("3;x=y", "abc", "0a", "0123456789", "0", "T: v", "");
      client.setTcpNoDelay(true);

      for (char c : (head + chunks).toCharArray()) {
        HttpIo.write(client, String.valueOf(c));
      }

      assertEquals("abc0123456789", program.worker(0).nextRequest().body());
    }
  }

  @Test
  void aBodyOfTheMaximumSizeIsForwardedAndALargeResultIsReturned() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      String largestBody = "x".repeat(64 * 1024);

      SubmittedJob job = program.submit("/copy", largestBody);
      assertEquals(largestBody, program.worker(0).nextRequest().body());
      // A status update contains the result and other JSON members. The result is 100 bytes
      // shorter than the largest body, so that the status update does not exceed the maximum size.
      program.reportDone(job.id(), "w0", largestBody.substring(100));

      assertEquals(largestBody.substring(100), job.response().body());
    }
  }

  /** A health check is a {@code GET /stats}. The worker's response to it is a load report. */
  @Test
  void loadReportsAreRequestedByHealthChecksIfTheyAreConfiguredAsPolled() throws Exception {
    try (DispatcherProcess program =
        new DispatcherProcess(1, new TestConfiguration().loadReports(LoadReports.POLLED))) {
      SubmittedJob job = program.submit("/copy", "");

      HttpMessage healthCheck = program.worker(0).nextRequest();
      assertEquals("GET /stats HTTP/1.1", healthCheck.startLine());
      healthCheck.respond(200, "TEXT inflight=1, queue=0, x0=3");

      program.serveNextJob(0, "served");
      assertEquals("served", job.response().body());
    }
  }
}
