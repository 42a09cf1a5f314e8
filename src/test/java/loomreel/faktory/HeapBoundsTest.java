package loomreel.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import loomreel.program.harness.ProgramCommand;
import loomreel.standin.DaemonProcess;
import loomreel.standin.FaktoryClient;
import loomreel.standin.RespReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What Faktory clients and workers send never ends a daemon with the heap of the deployment: it is
 * rejected, or what need not be retained is dropped. All settings of Faktory have their defaults.
 */
@Timeout(120)
class HeapBoundsTest {
  /** Far more than the heap of the deployment. */
  private static final long BYTES_PUSHED = 60_000_000;

  private static final int JOBS_IN_A_BATCH = 500;
  private static final int RESULT_BYTES = 40_000;
  @TempDir private Path directory;

  private DaemonProcess startDaemon() throws IOException {
    String[] flags =
        ProgramCommand.deployedFlags().stream()
            .filter(flag -> !flag.contains("SharedArchiveFile") && !flag.startsWith("-Xlog"))
            .toArray(String[]::new);
    return new DaemonProcess(
        new DaemonSettings()
            .withClass("copy", "free")
            .withQueue("copies", "copy")
            .withFaktory("workers", "{fetch_wait: \"200ms\"}")
            .withFaktoryText("spool", directory.resolve("spool").toString())
            .write(),
        flags);
  }

  private static FaktoryClient connect(DaemonProcess daemon, String wid) throws IOException {
    return new FaktoryClient(daemon.faktory(), null, wid);
  }

  private static String job(String jid, int argumentBytes) {
    return "{\"jid\":\"%s\",\"jobtype\":\"T\",\"queue\":\"copies\",\"args\":[\"%s\"]}"
        .formatted(jid, "a".repeat(argumentBytes));
  }

  /** Guards against the end of the process, and of each one after it, by jobs that wait. */
  @ParameterizedTest
  @ValueSource(ints = {10, 40_000})
  void jobsThatWaitAreRejectedBeforeTheHeapIsFull(int argumentBytes) throws Exception {
    Set<String> accepted;
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = connect(daemon, null)) {
      accepted = pushUntilRejected(client, argumentBytes);
      daemon.kill();
    }
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = connect(daemon, null);
        FaktoryClient worker = connect(daemon, "w1")) {
      JsonNode info = client.callForJson("INFO").path("faktory");
      int working = info.path("tasks").path("Working").path("size").asInt();
      int retries = info.path("tasks").path("Retries").path("size").asInt();
      assertEquals(accepted.size(), info.path("total_enqueued").asInt() + working + retries);
      Set<String> done = new HashSet<>();
      for (int i = 0; i < Math.min(accepted.size(), JOBS_IN_A_BATCH); i++) {
        JsonNode job = ProtocolHarness.fetch(worker, "copies");
        done.add(ProtocolHarness.clientJid(job));
        worker.callExpectingOk(ProtocolHarness.ack(job));
      }
      assertTrue(accepted.containsAll(done));
      client.callExpectingOk("PUSH " + job("after-it", argumentBytes));
    }
  }

  /** Pushes batches until a job is rejected; the jids of the accepted jobs. */
  private static Set<String> pushUntilRejected(FaktoryClient client, int argumentBytes)
      throws IOException {
    Set<String> accepted = new HashSet<>();
    long most = BYTES_PUSHED / (argumentBytes + 70);
    int batchJobs = Math.min(JOBS_IN_A_BATCH, 3_000_000 / argumentBytes);
    for (int i = 0; i < most; ) {
      Set<String> batch = new HashSet<>();
      StringBuilder command = new StringBuilder("PUSHB [");
      for (int j = 0; j < batchJobs; j++) {
        String jid = "waiting-" + i++;
        batch.add(jid);
        command.append(j == 0 ? "" : ",").append(job(jid, argumentBytes));
      }
      JsonNode rejected = client.callForJson(command + "]");
      rejected.fieldNames().forEachRemaining(batch::remove);
      accepted.addAll(batch);
      if (!rejected.isEmpty()) {
        String error = rejected.elements().next().asText();
        assertTrue(error.startsWith("ERR backlog is full"), error);
        return accepted;
      }
    }
    throw new AssertionError("all of " + most + " jobs were accepted");
  }

  /** Guards against the end of the process by results, which are held for {@code remember}. */
  @Test
  void theOldestResultsAreDroppedBeforeTheHeapIsFull() throws Exception {
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = connect(daemon, null);
        FaktoryClient worker = connect(daemon, "w1")) {
      assertNull(worker.call("FETCH copies"));
      String result = "r".repeat(RESULT_BYTES);
      int jobs = (int) (BYTES_PUSHED / RESULT_BYTES);
      for (int i = 0; i < jobs; i++) {
        client.callExpectingOk("PUSH " + job("ended-job-" + i, 10));
        JsonNode job = ProtocolHarness.fetch(worker, "copies");
        worker.callExpectingOk(ProtocolHarness.ack(job).replace("done", result));
      }
      JsonNode last = client.callForJson("TRACK GET ended-job-" + (jobs - 1));
      assertEquals(result, last.path("result").asText());
      JsonNode first = client.callForJson("TRACK GET ended-job-0");
      assertEquals("success", first.path("state").asText());
      assertEquals("its result is not retained", first.path("reason").asText());
      assertTrue(
          client.call("PUSH " + job("ended-job-0", 10)).toString().contains("NOTUNIQUE"),
          "its jid is still known");
    }
  }

  /** Guards against the end of the process by one command, whose values take far more than it. */
  @ParameterizedTest
  @ValueSource(strings = {"PUSHB [%s]", "PUSHB [[%s]]", "PUSH [%s]", "ACK {\"result\":[%s]}"})
  void aCommandOfManyValuesIsRejected(String format) throws Exception {
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = connect(daemon, null)) {
      Object reply = client.call(format.formatted("12,".repeat(1_200_000) + "12"));
      boolean isRejection =
          reply instanceof RespReader.ErrorReply
              || FaktoryClient.JSON.readTree((String) reply).has("#0");
      assertTrue(isRejection, String.valueOf(reply));
      client.callExpectingOk("PUSH " + job("after-it", 10));
    }
  }
}
