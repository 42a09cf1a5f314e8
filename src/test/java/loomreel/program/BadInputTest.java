package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.Socket;
import java.util.List;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.HttpIo;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Verifies that the dispatcher answers each invalid request with the expected status code, keeps
 * running, and forwards none of the requests to a worker.
 */
@Timeout(120)
class BadInputTest {
  /** The start of a job's head, without the two required headers that the next constants hold. */
  private static final String JOB = HttpIo.lines("POST /copy HTTP/1.1", "Host: x");
  private static final String CALL_ID = HttpIo.lines("X-Call-Id: 00000000000000bb");
  private static final String BUDGET = HttpIo.lines("X-Budget-Ms: 900");

  /** An invalid request and the status code that is expected in the response. */
  private record BadRequest(int status, String bytes) {
    /** Creates a request without a body. Its head is {@code prefix} followed by {@code lines}. */
    static BadRequest head(int status, String prefix, String... lines) {
      return new BadRequest(status, prefix + HttpIo.lines(lines) + HttpIo.lines(""));
    }
  }

  private static final List<BadRequest> REQUESTS =
      List.of(
          BadRequest.head(400, "", "hello"),
          BadRequest.head(400, "", "GET /health/ready HTTP/1.1", "no colon"),
          new BadRequest(400, "GET /health/ready HTTP/1.1\n\n"),
          BadRequest.head(505, "", "GET /health/ready HTTP/2.0"),
          BadRequest.head(404, "", "GET /nowhere HTTP/1.1"),
          BadRequest.head(404, HttpIo.lines("POST /copies HTTP/1.1") + CALL_ID + BUDGET),
          BadRequest.head(405, "", "GET /copy HTTP/1.1"),
          BadRequest.head(405, "", "POST /health/ready HTTP/1.1"),
          BadRequest.head(405, "", "GET /_jobs/news HTTP/1.1"),
          BadRequest.head(400, JOB + BUDGET),
          BadRequest.head(400, JOB + CALL_ID),
          BadRequest.head(400, JOB + BUDGET, "X-Call-Id: nothex"),
          BadRequest.head(400, JOB + CALL_ID, "X-Budget-Ms: -5"),
          BadRequest.head(400, JOB + CALL_ID, "X-Budget-Ms: 1.5"),
          BadRequest.head(400, JOB + CALL_ID + BUDGET, "X-Call-Cost: -1"),
          BadRequest.head(400, JOB + CALL_ID + BUDGET, "X-Call-Cost: 1e300"),
          BadRequest.head(400, JOB + CALL_ID + BUDGET, "X-Call-Info: slots=99999"),
          BadRequest.head(400, JOB + CALL_ID + BUDGET, "Content-Length: two"),
          BadRequest.head(400, JOB + CALL_ID + BUDGET, "Content-Length: 1", "Content-Length: 2"),
          BadRequest.head(
              400, JOB + CALL_ID + BUDGET, "Content-Length: 1", "Transfer-Encoding: chunked"),
          new BadRequest(
              400, JOB + CALL_ID + BUDGET + HttpIo.lines("Transfer-Encoding: chunked", "", "zz")),
          BadRequest.head(501, JOB + CALL_ID + BUDGET, "Transfer-Encoding: gzip"),
          BadRequest.head(413, JOB + CALL_ID + BUDGET, "Content-Length: 65537"),
          new BadRequest(
              413,
              JOB + CALL_ID + BUDGET + HttpIo.lines("Transfer-Encoding: chunked", "", "10001")),
          BadRequest.head(431, JOB, "X-Long: " + "y".repeat(9000)));

  @Test
  void invalidRequestsAreRejectedWithTheExpectedStatus() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      for (BadRequest request : REQUESTS) {
        try (Socket client = program.connect()) {
          HttpIo.write(client, request.bytes);
          assertEquals(request.status, HttpIo.read(client).status(), request.bytes);
        }
      }

      assertEquals(200, program.readinessStatus());
      assertFalse(program.worker(0).hasPendingRequest());
    }
  }
}
