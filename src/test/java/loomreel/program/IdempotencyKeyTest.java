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

/** Jobs of a keyed class: workers recognise a repetition by its idempotency key. */
@Timeout(120)
class IdempotencyKeyTest {
  private static final String JOB_ID = "00000000000000cc";
  private static final String KEY = "5c0f6e1a-2b3d, \"x\"; ~";

  private static DispatcherProcess start() throws IOException {
    TestConfiguration configuration =
        new TestConfiguration()
            .requestClasses(RequestClass.hold(15), RequestClass.copy(), RequestClass.issue());
    return new DispatcherProcess(2, configuration);
  }

  private static void submit(Socket client, String headers) throws IOException {
    HttpIo.write(client, DispatcherHarness.jobRequest("/hold/1", JOB_ID, 20_000, headers, "body"));
  }

  @Test
  void aJobIsRetriedUnderItsKey() throws Exception {
    try (DispatcherProcess program = start();
        Socket client = program.connect()) {
      submit(client, "idempotency-KEY: " + KEY + "\r\n");
      int worker = program.awaitWorkerWithRequest();
      HttpMessage first = program.worker(worker).nextRequest();
      assertEquals(KEY, first.header("Idempotency-Key"));

      first.connection().close();

      HttpMessage second = program.worker(1 - worker).nextRequest();
      assertEquals(KEY, second.header("Idempotency-Key"));
      assertEquals("body", second.body());
      second.respond(202, "");
      program.reportDone(JOB_ID, "w" + (1 - worker), "held");
      assertEquals("held", HttpIo.read(client).body());
    }
  }

  /** Without a key the job could run twice. */
  @Test
  void aJobWithoutAKeyIsNotRetried() throws Exception {
    try (DispatcherProcess program = start();
        Socket client = program.connect()) {
      submit(client, "");
      int worker = program.awaitWorkerWithRequest();
      HttpMessage first = program.worker(worker).nextRequest();
      assertNull(first.header("Idempotency-Key"));

      first.connection().close();

      assertEquals(500, HttpIo.read(client).status());
      assertFalse(program.worker(1 - worker).hasPendingRequest());
    }
  }
}
