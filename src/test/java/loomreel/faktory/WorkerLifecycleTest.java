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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Which jobs a worker gets while it drains, is disabled, or loses one of its connections. */
@Timeout(120)
class WorkerLifecycleTest {
  @RegisterExtension private static final ProtocolHarness HARNESS = new ProtocolHarness();

  @Test
  void aQuietWorkerGetsNoNewJobAndMayFinishItsJobs() throws Exception {
    String firstJid = newJid();
    String secondJid = newJid();
    try (FaktoryClient client = HARNESS.client();
        FaktoryClient worker = HARNESS.worker("quiet");
        FaktoryClient beat = HARNESS.worker("quiet")) {
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
      try (FaktoryClient next = HARNESS.worker("next")) {
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
    try (FaktoryClient client = HARNESS.client();
        FaktoryClient worker = HARNESS.worker("disabled")) {
      assertNull(worker.call("FETCH copies"));
      assertEquals(200, setWorkerState("down", "f:disabled"));
      client.callExpectingOk("PUSH " + job(jid, "copies"));
      assertNull(worker.call("FETCH copies"));
      assertEquals(200, setWorkerState("up", "f:disabled"));
      JsonNode job = fetch(worker, "copies");
      worker.callExpectingOk(ack(job));
      awaitState(client, jid, "success");
    }
  }

  private static int setWorkerState(String downOrUp, String worker) throws IOException {
    HttpURLConnection call =
        (HttpURLConnection)
            new URL(
                    "http",
                    "127.0.0.1",
                    HARNESS.operators().getPort(),
                    "/ops/copy-workers/" + downOrUp)
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
    try (FaktoryClient client = HARNESS.client();
        FaktoryClient second = HARNESS.worker("pair")) {
      JsonNode retainedJob;
      try (FaktoryClient first = HARNESS.worker("pair")) {
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
