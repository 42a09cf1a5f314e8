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
 * Verifies that this build reads files that an earlier build has stored.
 *
 * <p>The files are under {@code src/test/resources/stored}. They are never recorded again. A README
 * in this directory describes them. The programs under test read copies of the stored files. The
 * file {@code waiting.jsonl} was not stored by a program. It lists the jobs that the tests expect
 * in the queues, and the tests read the file in place.
 *
 * <p>A spool is the directory in which a daemon stores the jobs of Faktory clients. Its files are
 * segments of a log.
 */
@Timeout(120)
class StoredDataTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Path STORED_DIRECTORY = Path.of("src", "test", "resources", "stored");

  /** The file from which Linux reports the boot id, which is different after each boot. */
  private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

  /**
   * The placeholder for the boot id in the stored segments. The first line of a segment contains
   * the boot id that the machine had when the segment was written.
   */
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

  /**
   * The expected replies to the Faktory command {@code TRACK GET} for the jobs that are not queued.
   * These jobs have ended or are not due. The replies lack the members that {@link #track} removes.
   */
  private static final List<String> STATES_OF_JOBS_NOT_QUEUED =
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

  /**
   * The id of a job of class {@code issue}, whose jobs must not run twice. When the daemon was
   * killed, an attempt of this job had started, but no worker had received the job.
   */
  private static final String ATTEMPTED_JOB_ID = "issue-tried";

  /**
   * The expected reply to {@code TRACK GET} for the job {@link #ATTEMPTED_JOB_ID} if the machine
   * has restarted since the spool was written.
   */
  private static final String ATTEMPTED_JOB_AFTER_MACHINE_RESTART =
      "{\"jid\":\"issue-tried\",\"state\":\"dead\",\"failures\":0,"
          + "\"reason\":\"may have run: the process ended while it was tried\","
          + "\"may_have_run\":true}";

  /**
   * Returns the payloads of the jobs that are queued if the machine has not restarted, by job id
   * (jid). Each payload is as the client pushed it.
   */
  private static Map<String, JsonNode> queuedJobs() throws IOException {
    Map<String, JsonNode> jobs = new TreeMap<>();
    for (String line : Files.readAllLines(STORED_DIRECTORY.resolve("waiting.jsonl"))) {
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

  /** Replaces the placeholder in the segments of a spool with this machine's current boot id. */
  private static void setCurrentBootId(Path spool) throws IOException {
    String bootId = Files.readString(BOOT_ID_FILE).strip();
    try (Stream<Path> files = Files.list(spool)) {
      for (Path file : files.toList()) {
        String content = Files.readString(file, StandardCharsets.ISO_8859_1);
        Files.writeString(
            file, content.replace(STORED_BOOT_ID, bootId), StandardCharsets.ISO_8859_1);
      }
    }
  }

  /**
   * Returns the JSON reply to {@code TRACK GET} for a job, without the members {@code percent},
   * {@code desc} and {@code updated_at}. The stored files do not determine the values of these
   * members.
   */
  private static JsonNode track(FaktoryClient client, String jid) throws IOException {
    ObjectNode answer = (ObjectNode) client.callForJson("TRACK GET " + jid);
    return answer.without(List.of("percent", "desc", "updated_at"));
  }

  /**
   * Sends the command {@code FETCH} until one of the queues has a job, and returns the job.
   *
   * @param queues the names of the queues, separated by spaces
   */
  private static ObjectNode fetch(FaktoryClient worker, String queues) throws IOException {
    Object job = null;
    while (job == null) {
      job = worker.call("FETCH " + queues);
    }
    return (ObjectNode) JSON.readTree((String) job);
  }

  /**
   * Changes a fetched job back to the payload that the client pushed: restores the client's job id
   * and removes the members that an attempt adds. Changes the argument in place and returns it.
   */
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

  /**
   * Fetches and acknowledges jobs as a worker, and checks that no other job is queued.
   *
   * @param jobCount the number of jobs to fetch
   * @return the jobs as their clients pushed them, by job id (jid)
   */
  private static Map<String, JsonNode> runQueuedJobs(DaemonProcess daemon, int jobCount)
      throws IOException {
    Map<String, JsonNode> fetched = new TreeMap<>();
    try (FaktoryClient worker = new FaktoryClient(daemon.faktory(), null, "w0")) {
      while (fetched.size() < jobCount) {
        ObjectNode job = fetch(worker, "copies renewals drafts");
        worker.callExpectingOk("ACK {\"jid\":\"" + job.path("jid").asText() + "\"}");
        JsonNode pushed = asPushed(job);
        fetched.put(pushed.path("jid").asText(), pushed);
      }
      assertNull(worker.call("FETCH copies renewals drafts"), "no other job is queued");
    }
    return fetched;
  }

  /**
   * After the daemon has started again, a job that must not run twice is run only if it cannot have
   * run before. If the machine has restarted as well, the last records of the spool may be missing.
   * For the job {@link #ATTEMPTED_JOB_ID}, the record that a worker has received the job could be
   * missing. This job may therefore have run, so the daemon does not run it again.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aStoredSpoolIsReadWithAndWithoutAMachineRestart(
      boolean machineRestarted, @TempDir Path directory) throws Exception {
    Path spool = directory.resolve("spool");
    copyFiles(STORED_DIRECTORY.resolve("spool"), spool);
    Map<String, JsonNode> expectedJobs = queuedJobs();
    if (machineRestarted) {
      expectedJobs.remove(ATTEMPTED_JOB_ID);
    } else {
      setCurrentBootId(spool);
    }
    Path settings = DaemonProcess.writeSettings(SETTINGS.formatted(spool));
    try (DaemonProcess daemon = new DaemonProcess(settings);
        FaktoryClient client = new FaktoryClient(daemon.faktory(), null, null)) {
      for (String job : STATES_OF_JOBS_NOT_QUEUED) {
        JsonNode expectedState = JSON.readTree(job);
        assertEquals(expectedState, track(client, expectedState.path("jid").asText()));
      }
      if (machineRestarted) {
        assertEquals(
            JSON.readTree(ATTEMPTED_JOB_AFTER_MACHINE_RESTART), track(client, ATTEMPTED_JOB_ID));
      }
      assertEquals(expectedJobs, runQueuedJobs(daemon, expectedJobs.size()));
      client.callExpectingOk("MUTATE {\"cmd\":\"requeue\",\"target\":\"scheduled\"}");
      client.callExpectingOk("MUTATE {\"cmd\":\"requeue\",\"target\":\"retries\"}");
      List<String> requeued =
          List.of("copy-retrying", "copy-scheduled", "issue-retrying", "issue-scheduled");
      assertEquals(requeued, List.copyOf(runQueuedJobs(daemon, requeued.size()).keySet()));
      assertEquals(143, daemon.shutDown());
    }
  }

  /**
   * When a process starts, it applies the stored overrides. When operators change an override, the
   * process keeps the format and the other lines of the file.
   */
  @Test
  void operatorOverridesAreReadAndStored() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(3)) {
      program.killInstance(0);
      copyFiles(STORED_DIRECTORY.resolve("operators"), program.temporaryDirectory());
      Path overridesFile = program.temporaryDirectory().resolve("n0.state");
      program.startSuccessor();
      assertEquals(2, program.statistic(1, "hosts_down"));
      assertEquals(503, program.readinessStatus());
      for (String worker : List.of("w0", "w2")) {
        String before = Files.readString(overridesFile);
        assertEquals(200, program.enableWorker(1, worker));
        assertEquals(before.replace("down " + worker + "\n", ""), Files.readString(overridesFile));
      }
      assertEquals(0, program.statistic(1, "hosts_down"));
      assertEquals("drained\n", Files.readString(overridesFile));
      assertEquals(200, program.stopClientDrain(1));
      assertEquals("", Files.readString(overridesFile));
      assertEquals(200, program.readinessStatus());
    }
  }
}
