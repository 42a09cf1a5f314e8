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

/**
 * Tests hot restarts, in which a successor process replaces the running dispatcher process. A
 * supervisor process owns the listening socket and passes it to each dispatcher process.
 */
@Timeout(120)
class HotRestartTest {
  /** The name of the statistic that holds the number of disabled workers. */
  private static final String DISABLED_WORKERS = "hosts_down";

  /**
   * The successor serves new client connections while the old process completes its jobs. If a
   * process receives a status update for a job of the other process, it forwards the update.
   * Operator overrides (disabled workers and a client drain) apply to both processes, and to the
   * next successor.
   */
  @Test
  void anUpgradeLosesNoJobAndNoOperatorOverride() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(2)) {
      assertEquals(200, program.disableWorker(0, "w0"));
      SubmittedJob first = submitAccepted(program);
      SubmittedJob second = submitAccepted(program);
      SubmittedJob completedJob = program.submit("/copy", "");
      program.serveNextJob(1, "r");
      assertEquals("r", completedJob.response().body());

      program.startSuccessor();
      assertOverrideChangesReachOldProcess(program);
      program.instance(0).destroy();
      program.awaitLog("graceful shutdown started successor=true");
      assertOldProcessServesItsConnections(program, completedJob);
      assertSuccessorServesNewConnections(program);
      assertOldProcessCompletesItsJobs(program, first, second);
      program.awaitExit(0);

      assertEquals(200, program.startClientDrain(1));
      program.startSuccessor();
      assertSuccessorHasOverrides(program);
    }
  }

  /**
   * Submits a job that must not run twice, and has the second worker accept the job with status
   * 202.
   */
  private static SubmittedJob submitAccepted(DispatcherProcess program) throws Exception {
    SubmittedJob job = program.submit("/issue", "");
    program.worker(1).nextRequest().respond(202, "");
    return job;
  }

  /**
   * Disables and enables workers through the management API of the successor, and checks that each
   * change reaches the old process. Only w0 is disabled before the first change and after the last
   * one. After each change the method waits until the old process has received it, because the API
   * may respond earlier.
   */
  private static void assertOverrideChangesReachOldProcess(DispatcherProcess program)
      throws Exception {
    assertEquals(200, program.disableWorker(1, "w1"));
    program.awaitStatistic(0, DISABLED_WORKERS, 2);
    assertEquals(200, program.enableWorker(1, "w0"));
    program.awaitStatistic(0, DISABLED_WORKERS, 1);
    assertEquals(200, program.enableWorker(1, "w1"));
    program.awaitStatistic(0, DISABLED_WORKERS, 0);
    assertEquals(200, program.disableWorker(1, "w0"));
    program.awaitStatistic(0, DISABLED_WORKERS, 1);
  }

  /**
   * Checks that the old process serves a job on a connection that it accepted before the shutdown
   * started. The response has to announce that the old process closes the connection.
   */
  private static void assertOldProcessServesItsConnections(
      DispatcherProcess program, SubmittedJob completedJob) throws Exception {
    SubmittedJob job = program.submit(completedJob.connection(), "/copy", 20_000, "");
    program.serveNextJob(1, "by the old process");
    HttpMessage response = job.response();
    assertEquals("by the old process", response.body());
    assertEquals("close", response.header("Connection"));
  }

  /**
   * Checks that the successor serves a job on a new connection. The response must not announce the
   * close of the connection.
   */
  private static void assertSuccessorServesNewConnections(DispatcherProcess program)
      throws Exception {
    SubmittedJob job = program.submit("/copy", "");
    program.serveNextJob(1, "by the successor");
    assertNull(job.response().header("Connection"));
  }

  /**
   * Checks that the old process completes its jobs. The successor accepts the connections on which
   * the test sends the status updates, and forwards the status updates to the old process. Between
   * the two updates, the successor has to reject a new job with the id of a job of the old process.
   */
  private static void assertOldProcessCompletesItsJobs(
      DispatcherProcess program, SubmittedJob first, SubmittedJob second) throws Exception {
    assertEquals(200, program.reportDone(first.id(), "w1", "forwarded"));
    HttpMessage response = first.response();
    assertEquals("forwarded", response.body());
    assertEquals("close", response.header("Connection"));
    String head =
        HttpIo.lines(
            "POST /copy HTTP/1.1", "Host: x", "X-Budget-Ms: 900", "X-Call-Id: " + second.id());
    assertEquals(
        400,
        program.request(head, "").status(),
        "the id is in use by a job of the old process, so the new job must be rejected");
    assertEquals(200, program.reportDone(second.id(), "w1", ""));
    assertEquals(200, second.response().status());
  }

  /**
   * Checks that the second successor (instance 2) starts with the overrides of the first successor
   * (instance 1), a disabled worker and a client drain. Then stops the client drain through the
   * management API of instance 2, and waits until a readiness check succeeds.
   */
  private static void assertSuccessorHasOverrides(DispatcherProcess program) throws Exception {
    assertEquals(1, program.statistic(2, DISABLED_WORKERS));
    assertEquals(503, program.readinessStatus());
    assertEquals(200, program.stopClientDrain(2));
    // Either process may answer the readiness check. Instance 1 learns later than instance 2 that
    // the client drain has stopped, and fails readiness checks until then.
    while (program.readinessStatus() != 200) {
      Thread.sleep(1);
    }
  }

  /**
   * While no dispatcher process runs, new connections wait in the backlog of the listening socket.
   * The socket stays open, because the supervisor owns it.
   */
  @Test
  void jobsSubmittedWhileNoProcessRunsAreServedOnceByTheNextProcess() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(1)) {
      SubmittedJob interrupted = program.submit("/copy", "");
      program.worker(0).nextRequest().respond(202, "");
      program.killInstance(0);
      assertThrows(
          IOException.class,
          () -> {
            if (interrupted.response() == null) {
              throw new EOFException();
            }
          });
      List<SubmittedJob> waitingJobs = new ArrayList<>();
      for (int i = 0; i < 24; i++) {
        waitingJobs.add(program.submit(i % 2 == 0 ? "/copy" : "/issue", ""));
      }

      program.startSuccessor();

      Set<String> forwarded = new HashSet<>();
      for (int i = 0; i < waitingJobs.size(); i++) {
        HttpMessage post = program.worker(0).nextRequest();
        post.respond(202, "");
        String id = post.header("X-Call-Id");
        assertTrue(forwarded.add(id), id + " is sent twice");
        assertEquals(200, program.reportDone(id, "w0", id));
      }
      for (SubmittedJob job : waitingJobs) {
        assertEquals(job.id(), job.response().body());
      }
    }
  }

  @Test
  void aListeningSocketOtherThanDescriptor0IsRejected() throws Exception {
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
