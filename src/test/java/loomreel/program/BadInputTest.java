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
  /**
   * The first lines of a job request. They lack the two required headers, which are in {@link
   * #CALL_ID} and {@link #BUDGET}.
   */
  private static final String JOB = HttpIo.lines("POST /copy HTTP/1.1", "Host: x");

  private static final String CALL_ID = HttpIo.lines("X-Call-Id: 00000000000000bb");
  private static final String BUDGET = HttpIo.lines("X-Budget-Ms: 900");

  /**
   * An invalid request.
   *
   * @param status the expected status code of the response
   * @param bytes the complete text of the request
   */
  private record BadRequest(int status, String bytes) {
    /**
     * Creates an invalid request without a body.
     *
     * @param status the expected status code of the response
     * @param prefix the start of the head: complete lines with their line breaks, or an empty text
     * @param lines the further lines of the head, without line breaks
     */
    static BadRequest ofHead(int status, String prefix, String... lines) {
      return new BadRequest(status, prefix + HttpIo.lines(lines) + HttpIo.lines(""));
    }
  }

  /**
   * The invalid requests, in groups: the syntax or the HTTP version is invalid, the target is
   * unknown, the method is not allowed, the headers of a job are invalid, its body is invalid or
   * too large (more than 65,536 bytes), and its head is too large.
   */
  private static final List<BadRequest> REQUESTS =
      List.of(
          BadRequest.ofHead(400, "", "hello"),
          BadRequest.ofHead(400, "", "GET /health/ready HTTP/1.1", "no colon"),
          new BadRequest(400, "GET /health/ready HTTP/1.1\n\n"),
          BadRequest.ofHead(505, "", "GET /health/ready HTTP/2.0"),
          BadRequest.ofHead(404, "", "GET /nowhere HTTP/1.1"),
          BadRequest.ofHead(404, HttpIo.lines("POST /copies HTTP/1.1") + CALL_ID + BUDGET),
          BadRequest.ofHead(405, "", "GET /copy HTTP/1.1"),
          BadRequest.ofHead(405, "", "POST /health/ready HTTP/1.1"),
          BadRequest.ofHead(405, "", "GET /_jobs/news HTTP/1.1"),
          BadRequest.ofHead(400, JOB + BUDGET),
          BadRequest.ofHead(400, JOB + CALL_ID),
          BadRequest.ofHead(400, JOB + BUDGET, "X-Call-Id: nothex"),
          BadRequest.ofHead(400, JOB + CALL_ID, "X-Budget-Ms: -5"),
          BadRequest.ofHead(400, JOB + CALL_ID, "X-Budget-Ms: 1.5"),
          BadRequest.ofHead(400, JOB + CALL_ID + BUDGET, "X-Call-Cost: -1"),
          BadRequest.ofHead(400, JOB + CALL_ID + BUDGET, "X-Call-Cost: 1e300"),
          BadRequest.ofHead(400, JOB + CALL_ID + BUDGET, "X-Call-Info: slots=99999"),
          BadRequest.ofHead(400, JOB + CALL_ID + BUDGET, "Content-Length: two"),
          BadRequest.ofHead(400, JOB + CALL_ID + BUDGET, "Content-Length: 1", "Content-Length: 2"),
          BadRequest.ofHead(
              400, JOB + CALL_ID + BUDGET, "Content-Length: 1", "Transfer-Encoding: chunked"),
          new BadRequest(
              400, JOB + CALL_ID + BUDGET + HttpIo.lines("Transfer-Encoding: chunked", "", "zz")),
          BadRequest.ofHead(501, JOB + CALL_ID + BUDGET, "Transfer-Encoding: gzip"),
          BadRequest.ofHead(413, JOB + CALL_ID + BUDGET, "Content-Length: 65537"),
          new BadRequest(
              413,
              JOB + CALL_ID + BUDGET + HttpIo.lines("Transfer-Encoding: chunked", "", "10001")),
          BadRequest.ofHead(431, JOB, "X-Long: " + "y".repeat(9000)));

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
