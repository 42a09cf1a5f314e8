package loomreel.faktory;

import static loomreel.faktory.ProtocolHarness.ack;
import static loomreel.faktory.ProtocolHarness.attemptId;
import static loomreel.faktory.ProtocolHarness.awaitState;
import static loomreel.faktory.ProtocolHarness.clientJid;
import static loomreel.faktory.ProtocolHarness.fetch;
import static loomreel.faktory.ProtocolHarness.job;
import static loomreel.faktory.ProtocolHarness.jobWith;
import static loomreel.faktory.ProtocolHarness.newJid;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import loomreel.standin.FaktoryClient;
import loomreel.standin.RespReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A job from its push to its final state, also where its worker or its ACK is lost. */
@Timeout(120)
class JobLifecycleTest {
  private static final int MAX_ATTEMPTS = 4;

  /** So many jobs of a queue may be at workers at the start. */
  private static final int JOBS_AT_ONCE = 16;

  @RegisterExtension private static final ProtocolHarness HARNESS = new ProtocolHarness();

  @Test
  void aBatchIsAcceptedExceptForInvalidJobs() throws Exception {
    StringBuilder batch = new StringBuilder("[");
    String first = null;
    for (int i = 0; i < 1000; i++) {
      String jid = newJid();
      first = first == null ? jid : first;
      batch
          .append(i == 0 ? "" : ",")
          .append(i % 10 == 3 ? "{\"jid\":\"" + jid + "\",\"args\":7}" : job(jid, "parked"));
    }
    try (FaktoryClient link = HARNESS.client()) {
      JsonNode rejected = link.callForJson("PUSHB " + batch + "]");
      assertEquals(100, rejected.size());
      rejected.forEach(error -> assertTrue(error.asText().startsWith("ERR "), error.toString()));
      assertTrue(
          link.callForJson("PUSHB [" + job(first, "parked") + "]")
              .path(first)
              .asText()
              .startsWith("NOTUNIQUE"));
      assertTrue(
          List.of("enqueued", "working", "retrying")
              .contains(link.callForJson("TRACK GET " + first).path("state").asText()));
      link.callExpectingOk("FLUSH");
      assertEquals("{}", link.callForJson("PUSHB []").toString());
    }
  }

  @Test
  void aJobIsFetchedAcknowledgedAndTracked() throws Exception {
    String jid = newJid();
    try (FaktoryClient client = HARNESS.client();
        FaktoryClient worker = HARNESS.worker("round-trip")) {
      assertNull(worker.call("FETCH copies"), "no job within the wait");
      client.callExpectingOk(
          "PUSH " + jobWith(jid, "copies", ",\"custom\":{\"key\":\"k\",\"mine\":[1]}"));
      JsonNode job = fetch(worker, "copies");
      assertEquals(jid, clientJid(job));
      assertEquals("[1]", job.path("custom").path("mine").toString());
      assertEquals(jid, job.path("args").path(0).asText());
      worker.callExpectingOk(
          "TRACK SET {\"jid\":\"" + attemptId(job) + "\",\"percent\":\"40\",\"desc\":\"half\"}");
      assertEquals("40", client.callForJson("TRACK GET " + jid).path("percent").asText());
      worker.callExpectingOk("BEAT {\"wid\":\"round-trip\"}");
      worker.callExpectingOk(ack(job));
      assertEquals("done", awaitState(client, jid, "success").path("result").asText());
      // Repeated and contradicting reports: answered, and of no effect.
      worker.callExpectingOk(ack(job));
      assertTrue(
          worker.call("FAIL {\"jid\":\"" + attemptId(job) + "\"}")
              instanceof RespReader.ErrorReply);
      assertEquals("success", client.callForJson("TRACK GET " + jid).path("state").asText());
      assertTrue(
          client.call("PUSH " + job(jid, "copies")).toString().contains("NOTUNIQUE"),
          "it has ended recently");
    }
  }

  /** The connection is cut before the ACK, within it and right after it. */
  @ParameterizedTest
  @CsvSource({"before,dead", "within,dead", "after,success"})
  void aJobThatMustNotRepeatIsNeverHandedOutAgainWhenItsAckIsLost(String cut, String end)
      throws Exception {
    String jid = newJid();
    try (FaktoryClient client = HARNESS.client();
        FaktoryClient other = HARNESS.worker("other-" + cut)) {
      String id;
      try (FaktoryClient worker = HARNESS.worker("cut-" + cut)) {
        assertNull(worker.call("FETCH renewals"));
        client.callExpectingOk("PUSH " + job(jid, "renewals"));
        JsonNode job = fetch(worker, "renewals");
        id = attemptId(job);
        if (cut.equals("within")) {
          String ack = ack(job);
          worker
              .socket()
              .getOutputStream()
              .write(ack.substring(0, ack.length() - 4).getBytes(StandardCharsets.UTF_8));
        } else if (cut.equals("after")) {
          worker.send(ack(job));
          worker.read();
        }
      }
      JsonNode state = awaitState(client, jid, end);
      if (end.equals("dead")) {
        assertEquals("may have run", state.path("reason").asText());
        assertTrue(state.path("may_have_run").asBoolean());
        assertTrue(
            client.call(
                    "MUTATE {\"cmd\":\"requeue\",\"target\":\"dead\",\"filter\":{\"jids\":[\""
                        + jid
                        + "\"]}}")
                instanceof RespReader.ErrorReply,
            "not even by an operator");
      }
      // The process reconnects and acknowledges: that is evidence, and changes no final state.
      try (FaktoryClient again = HARNESS.worker("cut-" + cut)) {
        assertNull(again.call("FETCH renewals"));
        again.callExpectingOk("ACK {\"jid\":\"" + id + "\"}");
      }
      state = client.callForJson("TRACK GET " + jid);
      assertEquals(end, state.path("state").asText());
      assertTrue(state.path("evidence").asText().contains("ACK from cut-" + cut), state.toString());
      assertNull(other.call("FETCH renewals"), "no other worker gets it");
    }
  }

  /** The worker dies between its FETCH and its first BEAT. */
  @Test
  void anIdempotentJobIsHandedToAnotherWorkerWhenItsWorkerDies() throws Exception {
    String jid = newJid();
    try (FaktoryClient client = HARNESS.client();
        FaktoryClient second = HARNESS.worker("second")) {
      try (FaktoryClient first = HARNESS.worker("first")) {
        assertNull(first.call("FETCH copies"));
        client.callExpectingOk("PUSH " + job(jid, "copies"));
        fetch(first, "copies");
      }
      JsonNode job = fetch(second, "copies");
      assertEquals(jid, clientJid(job));
      second.callExpectingOk(ack(job));
      awaitState(client, jid, "success");
    }
  }

  /**
   * Guards against a job of an idempotent class that fails at every worker and is run without end,
   * since the end of its attempts was taken for a rejection of which nothing ran.
   */
  @ParameterizedTest
  @CsvSource({"-1,1", "0,1", "1,2"})
  void anIdempotentJobThatAlwaysFailsIsDeadOnceItsRetriesAreUsedUp(int retry, int failures)
      throws Exception {
    String jid = newJid();
    List<FaktoryClient> workers = new ArrayList<>();
    try (FaktoryClient client = HARNESS.client()) {
      for (int i = 0; i < MAX_ATTEMPTS; i++) {
        workers.add(HARNESS.worker("fails-" + retry + "-" + i));
        assertNull(workers.get(i).call("FETCH copies"));
      }
      client.callExpectingOk("PUSH " + jobWith(jid, "copies", ",\"retry\":" + retry));
      int runs = 0;
      int maxRuns = MAX_ATTEMPTS * failures;
      for (int turn = 0; runs <= maxRuns && !isDead(client, jid); turn++) {
        FaktoryClient worker = workers.get(turn % MAX_ATTEMPTS);
        if (worker.call("FETCH copies") instanceof String job) {
          runs++;
          worker.callExpectingOk(fail(FaktoryClient.JSON.readTree(job)));
        }
      }
      JsonNode state = awaitState(client, jid, "dead");
      assertEquals(failures, state.path("failures").asInt(), state.toString());
      assertEquals(maxRuns, runs);
    } finally {
      for (FaktoryClient worker : workers) {
        worker.close();
      }
    }
  }

  private static boolean isDead(FaktoryClient client, String jid) throws Exception {
    return client.callForJson("TRACK GET " + jid).path("state").asText().equals("dead");
  }

  private static String fail(JsonNode job) {
    return "FAIL {\"jid\":\"" + attemptId(job) + "\",\"message\":\"no\"}";
  }

  /**
   * Guards against a second run of a job that was partly written when its reservation ended: the
   * rest was written later all the same.
   */
  @Test
  void aJobIsNotWrittenOnOnceItsReservationHasEnded() throws Exception {
    String longJid = newJid();
    String filler = "x".repeat(50_000);
    List<String> received = new ArrayList<>();
    try (FaktoryClient client = HARNESS.client();
        FaktoryClient slow = slowWorker("slow-reader")) {
      client.callExpectingOk("PUSH " + job(longJid, "copies"));
      slow.callExpectingOk(ack(fetch(slow, "copies")).replace("done", "y".repeat(200_000)));
      for (int i = 0; i < JOBS_AT_ONCE; i++) {
        String fields = ",\"reserve_for\":1,\"custom\":{\"filler\":\"" + filler + "\"}";
        client.callExpectingOk("PUSH " + jobWith(newJid(), "renewals", fields));
      }
      for (int i = 0; i < JOBS_AT_ONCE; i++) {
        slow.send("TRACK GET " + longJid);
        slow.send("FETCH renewals");
      }
      Thread.sleep(1500);
      receiveJobs(slow, received);
    }
    try (FaktoryClient other = slowWorker("other-reader")) {
      for (int i = 0; i < JOBS_AT_ONCE; i++) {
        other.send("FETCH renewals");
      }
      receiveJobs(other, received);
    }
    assertTrue(received.size() > 1, received.toString());
    assertEquals(received.size(), Set.copyOf(received).size(), received.toString());
  }

  private static FaktoryClient slowWorker(String wid) throws IOException {
    FaktoryClient worker =
        new FaktoryClient(HARNESS.faktory(), ProtocolHarness.PASSWORD, wid, "slots=50");
    worker.socket().setReceiveBufferSize(8 * 1024);
    worker.socket().setSoTimeout(2000);
    return worker;
  }

  /** Acknowledges all jobs that arrive until the connection is closed or quiet. */
  private static void receiveJobs(FaktoryClient worker, List<String> received) {
    try {
      while (true) {
        if (worker.read() instanceof String text && text.startsWith("{")) {
          JsonNode job = FaktoryClient.JSON.readTree(text);
          if (job.has("custom")) {
            received.add(clientJid(job));
            worker.send(ack(job));
          }
        }
      }
    } catch (IOException e) {
      // The connection is closed or quiet.
    }
  }
}
