package loomreel.faktory;

import static loomreel.faktory.ProtocolHarness.ack;
import static loomreel.faktory.ProtocolHarness.awaitState;
import static loomreel.faktory.ProtocolHarness.clientJid;
import static loomreel.faktory.ProtocolHarness.fetch;
import static loomreel.faktory.ProtocolHarness.job;
import static loomreel.faktory.ProtocolHarness.newJid;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import loomreel.standin.FaktoryClient;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Which jobs a worker gets while it drains, is disabled, or loses one of its connections. */
@Timeout(120)
class WorkerLifecycleTest {
  private static ProtocolHarness harness;

  @BeforeAll
  static void start() throws IOException {
    harness = new ProtocolHarness();
  }

  @AfterAll
  static void stop() throws InterruptedException {
    harness.stop();
  }

  @Test
  void aQuietWorkerGetsNoNewJobAndMayFinishItsJobs() throws Exception {
    String firstJid = newJid();
    String secondJid = newJid();
    try (FaktoryClient client = harness.client();
        FaktoryClient worker = harness.worker("quiet");
        FaktoryClient beat = harness.worker("quiet")) {
      assertNull(worker.call("FETCH copies"));
      client.callExpectingOk("PUSH " + job(firstJid, "copies"));
      JsonNode job = fetch(worker, "copies");
      // A FETCH that waits when draining starts is answered without a job, as is a later one.
      worker.send("FETCH copies");
      beat.callExpectingOk("BEAT {\"wid\":\"quiet\",\"current_state\":\"quiet\"}");
      assertNull(worker.read());
      client.callExpectingOk("PUSH " + job(secondJid, "copies"));
      assertNull(worker.call("FETCH copies"));
      worker.callExpectingOk(ack(job));
      awaitState(client, firstJid, "success");
      try (FaktoryClient next = harness.worker("next")) {
        JsonNode other = fetch(next, "copies");
        assertEquals(secondJid, clientJid(other));
        next.callExpectingOk(ack(other));
      }
      awaitState(client, secondJid, "success");
    }
  }

  @Test
  void aDisabledWorkerGetsNoJobUntilItIsEnabled() throws Exception {
    String jid = newJid();
    try (FaktoryClient client = harness.client();
        FaktoryClient worker = harness.worker("disabled")) {
      assertNull(worker.call("FETCH copies"));
      assertEquals(200, operate("down", "f:disabled"));
      client.callExpectingOk("PUSH " + job(jid, "copies"));
      assertNull(worker.call("FETCH copies"));
      assertEquals(200, operate("up", "f:disabled"));
      JsonNode job = fetch(worker, "copies");
      worker.callExpectingOk(ack(job));
      awaitState(client, jid, "success");
    }
  }

  private static int operate(String what, String worker) throws IOException {
    HttpURLConnection call =
        (HttpURLConnection)
            new URL("http", "127.0.0.1", harness.operators().getPort(), "/ops/copy-workers/" + what)
                .openConnection();
    call.setDoOutput(true);
    call.getOutputStream().write(worker.getBytes(StandardCharsets.UTF_8));
    return call.getResponseCode();
  }

  /** The jobs that another connection of the same process has fetched are not affected. */
  @Test
  void aLostConnectionEndsOnlyTheJobsThatItFetched() throws Exception {
    String lost = newJid();
    String retained = newJid();
    try (FaktoryClient client = harness.client();
        FaktoryClient second = harness.worker("pair")) {
      JsonNode retainedJob;
      try (FaktoryClient first = harness.worker("pair")) {
        assertNull(first.call("FETCH renewals"));
        client.callExpectingOk("PUSH " + job(lost, "renewals"));
        fetch(first, "renewals");
        client.callExpectingOk("PUSH " + job(retained, "renewals"));
        retainedJob = fetch(second, "renewals");
      }
      assertEquals("may have run", awaitState(client, lost, "dead").path("reason").asText());
      second.callExpectingOk(ack(retainedJob));
      awaitState(client, retained, "success");
    }
  }
}
