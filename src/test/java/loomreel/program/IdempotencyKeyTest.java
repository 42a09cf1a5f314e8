package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.net.Socket;
import loomreel.program.harness.DispatcherHarness;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.RequestClass;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Verifies that the dispatcher retries a job of a keyed request class only if the client has sent
 * an idempotency key with the job. Workers recognize a repeated job by the key, so that a retry
 * does not run the job twice.
 */
@Timeout(120)
class IdempotencyKeyTest {
  private static final String JOB_ID = "00000000000000cc";

  /** An idempotency key that contains punctuation. The key must reach the worker unchanged. */
  private static final String IDEMPOTENCY_KEY = "5c0f6e1a-2b3d, \"x\"; ~";

  private static DispatcherProcess start() throws IOException {
    TestConfiguration configuration =
        new TestConfiguration()
            .requestClasses(RequestClass.hold(15), RequestClass.copy(), RequestClass.issue());
    return new DispatcherProcess(2, configuration);
  }

  /**
   * Sends a job of the keyed class {@code hold} with a deadline of 20 s.
   *
   * @param headers additional header lines, each with its line end; empty for none
   */
  private static void submit(Socket client, String headers) throws IOException {
    HttpIo.write(client, DispatcherHarness.jobRequest("/hold/1", JOB_ID, 20_000, headers, "body"));
  }

  @Test
  void aJobWithAKeyIsRetriedWithTheSameKey() throws Exception {
    try (DispatcherProcess program = start();
        Socket client = program.connect()) {
      submit(client, "idempotency-KEY: " + IDEMPOTENCY_KEY + "\r\n");
      int worker = program.awaitWorkerWithRequest();
      HttpMessage firstRequest = program.worker(worker).nextRequest();
      assertEquals(IDEMPOTENCY_KEY, firstRequest.header("Idempotency-Key"));

      firstRequest.connection().close();

      HttpMessage secondRequest = program.worker(1 - worker).nextRequest();
      assertEquals(IDEMPOTENCY_KEY, secondRequest.header("Idempotency-Key"));
      assertEquals("body", secondRequest.body());
      secondRequest.respond(202, "");
      program.reportDone(JOB_ID, "w" + (1 - worker), "held");
      assertEquals("held", HttpIo.read(client).body());
    }
  }

  /** Without a key, a worker could not recognize a retry, and the job could run twice. */
  @Test
  void aJobWithoutAKeyIsNotRetried() throws Exception {
    try (DispatcherProcess program = start();
        Socket client = program.connect()) {
      submit(client, "");
      int worker = program.awaitWorkerWithRequest();
      HttpMessage firstRequest = program.worker(worker).nextRequest();
      assertNull(firstRequest.header("Idempotency-Key"));

      firstRequest.connection().close();

      assertEquals(500, HttpIo.read(client).status());
      assertFalse(program.worker(1 - worker).hasPendingRequest());
    }
  }
}
