package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.FaktoryDaemonSettings;
import loomreel.standin.DaemonProcess;
import loomreel.standin.FaktoryClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Files that an earlier build has stored are read: copies of those under {@code
 * src/test/resources/stored}, which its README describes and which are never recorded again.
 */
@Timeout(120)
class StoredDataTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Path STORED = Path.of("src", "test", "resources", "stored");
  private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

  /** Replaces the boot id of the machine that wrote the stored segments. */
  private static final String STORED_BOOT_ID = "00000000-0000-0000-0000-000000000000";

  private static final String SETTINGS =
      FaktoryDaemonSettings.of(
          """
          quick: {repeat: "free", target: "20s", deadline: "20s"}
          """,
          """
          queues: {copies: class: "copy", renewals: class: "issue", drafts: class: "quick"}
          workers: {fetch_wait: "200ms", cold: false}
          remember: "87000h"
          may_mutate: true
          spool: "%s"
          """);

  /** The tracked states of the jobs that no worker gets: those that have ended or are not due. */
  private static final List<String> SETTLED =
      List.of(
          "{\"jid\":\"copy-done\",\"state\":\"success\",\"failures\":0}",
          "{\"jid\":\"copy-dropped\",\"state\":\"cancelled\",\"failures\":0}",
          "{\"jid\":\"copy-retrying\",\"state\":\"retrying\",\"failures\":1,\"reason\":\"failed\"}",
          "{\"jid\":\"copy-scheduled\",\"state\":\"scheduled\",\"failures\":0}",
          "{\"jid\":\"issue-discarded\",\"state\":\"unknown\"}",
          "{\"jid\":\"issue-failed\",\"state\":\"dead\",\"failures\":0,\"reason\":\"may have run\","
              + "\"may_have_run\":true}",
          "{\"jid\":\"issue-out\",\"state\":\"dead\",\"failures\":0,"
              + "\"reason\":\"may have run: the process ended while it was tried\","
              + "\"may_have_run\":true}",
          "{\"jid\":\"issue-retrying\",\"state\":\"retrying\",\"failures\":1,"
              + "\"reason\":\"failed before it ran\"}",
          "{\"jid\":\"issue-scheduled\",\"state\":\"scheduled\",\"failures\":0}");

  /** A job of class issue with an attempt that had not reached a worker. */
  private static final String ATTEMPTED = "issue-tried";

  private static final String ATTEMPTED_MAY_HAVE_RUN =
      "{\"jid\":\"issue-tried\",\"state\":\"dead\",\"failures\":0,"
          + "\"reason\":\"may have run: the process ended while it was tried\","
          + "\"may_have_run\":true}";

  /** The payloads of the queued jobs as their clients pushed them, by jid. */
  private static Map<String, JsonNode> waiting() throws IOException {
    Map<String, JsonNode> jobs = new TreeMap<>();
    for (String line : Files.readAllLines(STORED.resolve("waiting.jsonl"))) {
      JsonNode job = JSON.readTree(line);
      jobs.put(job.path("jid").asText(), job);
    }
    return jobs;
  }

  private static void copyFiles(Path from, Path to) throws IOException {
    Files.createDirectories(to);
    try (Stream<Path> files = Files.list(from)) {
      for (Path file : files.toList()) {
        Files.copy(file, to.resolve(file.getFileName()));
      }
    }
  }

  /** Replaces the boot id in stored segments by that of this machine. */
  private static void setCurrentBootId(Path spool) throws IOException {
    String boot = Files.readString(BOOT_ID).strip();
    try (Stream<Path> files = Files.list(spool)) {
      for (Path file : files.toList()) {
        String bytes = Files.readString(file, StandardCharsets.ISO_8859_1);
        Files.writeString(file, bytes.replace(STORED_BOOT_ID, boot), StandardCharsets.ISO_8859_1);
      }
    }
  }

  /** The state of a job by TRACK, without the members that do not depend on the stored files. */
  private static JsonNode track(FaktoryClient client, String jid) throws IOException {
    ObjectNode answer = (ObjectNode) client.callForJson("TRACK GET " + jid);
    return answer.without(List.of("percent", "desc", "updated_at"));
  }

  /** Fetches until one of these queues has a job. */
  private static ObjectNode fetch(FaktoryClient worker, String queues) throws IOException {
    Object job = null;
    while (job == null) {
      job = worker.call("FETCH " + queues);
    }
    return (ObjectNode) JSON.readTree((String) job);
  }

  /** A fetched job as its client pushed it, without the members that an attempt adds. */
  private static JsonNode asPushed(ObjectNode fetched) {
    ObjectNode custom = (ObjectNode) fetched.path("custom");
    fetched.put("jid", custom.path("client_jid").asText());
    custom.remove(List.of("client_jid", "class", "budget_ms"));
    fetched.remove(List.of("reserve_for", "retry"));
    if (custom.isEmpty()) {
      fetched.remove("custom");
    }
    return fetched;
  }

  /** Has a worker run this many jobs; the jobs as pushed, by jid. */
  private static Map<String, JsonNode> run(DaemonProcess daemon, int jobs) throws IOException {
    Map<String, JsonNode> fetched = new TreeMap<>();
    try (FaktoryClient worker = new FaktoryClient(daemon.faktory(), null, "w0")) {
      while (fetched.size() < jobs) {
        ObjectNode job = fetch(worker, "copies renewals drafts");
        worker.callExpectingOk("ACK {\"jid\":\"" + job.path("jid").asText() + "\"}");
        JsonNode pushed = asPushed(job);
        fetched.put(pushed.path("jid").asText(), pushed);
      }
      assertNull(worker.call("FETCH copies renewals drafts"), "no other job is queued");
    }
    return fetched;
  }

  /** A job that must not run twice runs again only if it cannot have run. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aSpoolIsReadWhetherOrNotTheMachineHasRestarted(boolean restarted, @TempDir Path directory)
      throws Exception {
    Path spool = directory.resolve("spool");
    copyFiles(STORED.resolve("spool"), spool);
    Map<String, JsonNode> expected = waiting();
    if (restarted) {
      expected.remove(ATTEMPTED);
    } else {
      setCurrentBootId(spool);
    }
    Path settings = DaemonProcess.writeSettings(SETTINGS.formatted(spool));
    try (DaemonProcess daemon = new DaemonProcess(settings);
        FaktoryClient client = new FaktoryClient(daemon.faktory(), null, null)) {
      for (String job : SETTLED) {
        JsonNode expectedState = JSON.readTree(job);
        assertEquals(expectedState, track(client, expectedState.path("jid").asText()));
      }
      if (restarted) {
        assertEquals(JSON.readTree(ATTEMPTED_MAY_HAVE_RUN), track(client, ATTEMPTED));
      }
      assertEquals(expected, run(daemon, expected.size()));
      client.callExpectingOk("MUTATE {\"cmd\":\"requeue\",\"target\":\"scheduled\"}");
      client.callExpectingOk("MUTATE {\"cmd\":\"requeue\",\"target\":\"retries\"}");
      List<String> requeued =
          List.of("copy-retrying", "copy-scheduled", "issue-retrying", "issue-scheduled");
      assertEquals(requeued, List.copyOf(run(daemon, requeued.size()).keySet()));
      assertEquals(143, daemon.shutDown());
    }
  }

  /** They apply to a process that starts later, and are stored in the same form. */
  @Test
  void operatorOverridesAreReadAndStored() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(3)) {
      program.killInstance(0);
      copyFiles(STORED.resolve("operators"), program.temporaryDirectory());
      Path stored = program.temporaryDirectory().resolve("n0.state");
      program.startSuccessor();
      assertEquals(2, program.statistic(1, "hosts_down"));
      assertEquals(503, program.readinessStatus());
      for (String worker : List.of("w0", "w2")) {
        String before = Files.readString(stored);
        assertEquals(200, program.enableWorker(1, worker));
        assertEquals(before.replace("down " + worker + "\n", ""), Files.readString(stored));
      }
      assertEquals(0, program.statistic(1, "hosts_down"));
      assertEquals("drained\n", Files.readString(stored));
      assertEquals(200, program.stopClientDrain(1));
      assertEquals("", Files.readString(stored));
      assertEquals(200, program.readinessStatus());
    }
  }
}
