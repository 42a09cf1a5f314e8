package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.ProgramCommand;
import loomreel.program.harness.SubmittedJob;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Processes that replace each other while a supervisor owns the listening socket. */
@Timeout(120)
class HotRestartTest {
  /** The name of the statistic that counts the disabled workers. */
  private static final String DISABLED_WORKERS = "hosts_down";

  /**
   * The successor takes over new clients while the old process ends its jobs. Status updates reach
   * either of the two, and operator overrides hold for both and for the process after them.
   */
  @Test
  void anUpgradeLosesNoJobAndNoOperatorOverride() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(2)) {
      assertEquals(200, program.disableWorker(0, "w0"));
      SubmittedJob first = submitAccepted(program);
      SubmittedJob second = submitAccepted(program);
      SubmittedJob idle = program.submit("/copy", "");
      program.serveNextJob(1, "r");
      assertEquals("r", idle.response().body());

      program.startSuccessor();
      assertOverridesReachOldProcess(program);
      program.instance(0).destroy();
      program.awaitLog("graceful shutdown started successor=true");
      assertOldProcessServesItsConnections(program, idle);
      assertSuccessorServesNewConnections(program);
      assertOldProcessEndsItsJobs(program, first, second);
      program.awaitExit(0);

      assertEquals(200, program.startClientDrain(1));
      program.startSuccessor();
      assertSuccessorHasOverrides(program);
    }
  }

  /** Submits a job that the second worker accepts, and that must not run twice. */
  private static SubmittedJob submitAccepted(DispatcherProcess program) throws Exception {
    SubmittedJob job = program.submit("/issue", "");
    program.worker(1).nextRequest().respond(202, "");
    return job;
  }

  /**
   * Swaps the disabled worker and swaps it back, at the successor. Each change has to reach the old
   * process before the next one; the response of the management API does not wait for that.
   */
  private static void assertOverridesReachOldProcess(DispatcherProcess program) throws Exception {
    assertEquals(200, program.disableWorker(1, "w1"));
    program.awaitStatistic(0, DISABLED_WORKERS, 2);
    assertEquals(200, program.enableWorker(1, "w0"));
    program.awaitStatistic(0, DISABLED_WORKERS, 1);
    assertEquals(200, program.enableWorker(1, "w1"));
    program.awaitStatistic(0, DISABLED_WORKERS, 0);
    assertEquals(200, program.disableWorker(1, "w0"));
    program.awaitStatistic(0, DISABLED_WORKERS, 1);
  }

  private static void assertOldProcessServesItsConnections(
      DispatcherProcess program, SubmittedJob idle) throws Exception {
    SubmittedJob job = program.submit(idle.connection(), "/copy", 20_000, "");
    program.serveNextJob(1, "by the old process");
    HttpMessage response = job.response();
    assertEquals("by the old process", response.body());
    assertEquals("close", response.header("Connection"));
  }

  private static void assertSuccessorServesNewConnections(DispatcherProcess program)
      throws Exception {
    SubmittedJob job = program.submit("/copy", "");
    program.serveNextJob(1, "by the successor");
    assertNull(job.response().header("Connection"));
  }

  /** Status updates reach the successor, which forwards them. */
  private static void assertOldProcessEndsItsJobs(
      DispatcherProcess program, SubmittedJob first, SubmittedJob second) throws Exception {
    assertEquals(200, program.reportDone(first.id(), "w1", "forwarded"));
    HttpMessage response = first.response();
    assertEquals("forwarded", response.body());
    assertEquals("close", response.header("Connection"));
    String head =
        HttpIo.lines(
            "POST /copy HTTP/1.1", "Host: x", "X-Budget-Ms: 900", "X-Call-Id: " + second.id());
    assertEquals(400, program.request(head, "").status(), "the old process has a job of this id");
    assertEquals(200, program.reportDone(second.id(), "w1", ""));
    assertEquals(200, second.response().status());
  }

  private static void assertSuccessorHasOverrides(DispatcherProcess program) throws Exception {
    assertEquals(1, program.statistic(2, DISABLED_WORKERS));
    assertEquals(503, program.readinessStatus());
    assertEquals(200, program.stopClientDrain(2));
    // Either process may answer, and the older one gets the override a moment later.
    while (program.readinessStatus() != 200) {
      Thread.sleep(1);
    }
  }

  /** Their connections are in the backlog of the socket, which the supervisor owns. */
  @Test
  void clientsThatConnectWhileNoProcessRunsAreServed() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(1)) {
      SubmittedJob cut = program.submit("/copy", "");
      program.worker(0).nextRequest().respond(202, "");
      program.killInstance(0);
      assertThrows(
          IOException.class,
          () -> {
            if (cut.response() == null) {
              throw new EOFException();
            }
          });
      List<SubmittedJob> waiting = new ArrayList<>();
      for (int i = 0; i < 24; i++) {
        waiting.add(program.submit(i % 2 == 0 ? "/copy" : "/issue", ""));
      }

      program.startSuccessor();

      Set<String> forwarded = new HashSet<>();
      for (int i = 0; i < waiting.size(); i++) {
        HttpMessage post = program.worker(0).nextRequest();
        post.respond(202, "");
        String id = post.header("X-Call-Id");
        assertTrue(forwarded.add(id), id + " is sent twice");
        assertEquals(200, program.reportDone(id, "w0", id));
      }
      for (SubmittedJob job : waiting) {
        assertEquals(job.id(), job.response().body());
      }
    }
  }

  @Test
  void onlyDescriptor0IsAcceptedAsTheListeningSocket() throws Exception {
    Path file = Files.createTempFile("loomreel", ".json");
    ProcessBuilder builder = ProgramCommand.of(file, "serve", "");
    builder.environment().put("BALANCER_LISTEN_FD", "3");

    Process process = builder.start();

    String errors = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(errors.contains("BALANCER_LISTEN_FD can only be 0"));
    assertEquals(2, process.waitFor());
    Files.delete(file);
  }
}
