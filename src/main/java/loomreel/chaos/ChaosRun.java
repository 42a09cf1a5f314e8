package loomreel.chaos;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loomreel.standin.DaemonProcess;
import loomreel.standin.ExecutionLog;
import loomreel.standin.FaktoryClient;
import loomreel.standin.TemporaryDirectory;

/**
 * A chaos test of one daemon on loopback: clients and workers of both protocols, while workers are
 * killed and connections cut at times drawn from a seed. The invariants are checked at the end. One
 * instance runs once.
 */
public final class ChaosRun {
  /** The password of the daemon's Faktory server. */
  static final String PASSWORD = "a password";

  private static final String JOB_ID_PREFIX = "jid-";
  private static final int CLIENTS_OF_EACH_KIND = 4;
  private static final int PROGRESS_INTERVAL_MS = 200;

  /** The exit code of a JVM that SIGTERM ended: 128 + 15. */
  private static final int EXIT_CODE_SIGTERM = 143;

  private final Plan plan;
  private final ExecutionLog executions = new ExecutionLog();
  private final ChaosFindings findings = new ChaosFindings();
  private final ConcurrentLinkedQueue<String> pushedJobIds = new ConcurrentLinkedQueue<>();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /**
   * What is to be run.
   *
   * @param seconds the time over which the jobs are spread
   * @param injectsFaults whether workers are killed, quieted and disabled, and connections cut
   */
  public record Plan(long seed, int jobs, int seconds, boolean injectsFaults) {}

  private interface Client {
    void run() throws IOException, InterruptedException;
  }

  /** Creates a run that has not started. */
  public ChaosRun(Plan plan) {
    this.plan = plan;
  }

  /**
   * Runs the plan without reporting progress.
   *
   * @throws IOException if the daemon cannot be started
   */
  public ChaosResult run() throws IOException, InterruptedException {
    return run(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
  }

  /**
   * Runs the plan.
   *
   * @param progress receives a line of progress
   * @throws IOException if the daemon cannot be started
   */
  public ChaosResult run(PrintStream progress) throws IOException, InterruptedException {
    try (TemporaryDirectory spool = new TemporaryDirectory();
        ChaosWorkers workers = new ChaosWorkers(executions);
        DaemonProcess daemon =
            new DaemonProcess(DaemonProcess.writeSettings(settings(workers, spool.path())))) {
      workers.connect(daemon);
      submitJobs(daemon, workers, progress);
      try (FaktoryClient client = new FaktoryClient(daemon.faktory(), PASSWORD)) {
        new FaktoryJobTracker(client, executions, findings).awaitAll(pushedJobIds);
      }
      checkInvariants(workers);
      if (daemon.shutDown() != EXIT_CODE_SIGTERM) {
        findings.violation("the daemon did not shut down on SIGTERM");
      }
      return findings.result(workers.servedByKind());
    }
  }

  /** The Faktory id of the job with a serial number. */
  static String jobId(String serial) {
    return JOB_ID_PREFIX + serial;
  }

  /** The serial number of the job with a Faktory id. */
  static String serial(String jobId) {
    return jobId.substring(JOB_ID_PREFIX.length());
  }

  private static String settings(ChaosWorkers workers, Path spool) {
    return """
    name: "mixed"
    listen: {http: "127.0.0.1:0", operators: "127.0.0.1:0"}
    classes: {
    	render: {repeat: "free", target: "2s", deadline: "3s", worth: 3}
    	record: {repeat: "single_shot", target: "2s", deadline: "3s", worth: 4}
    }
    workers: {
    %s}
    // Stand-ins are warm from the start.
    rules: cold_from: 1.0
    limits: descriptors: 2048
    faktory: {
    	listen: "127.0.0.1:0"
    	password: "%s"
    	iterations: 10
    	queues: {pages: {class: "render", weight: 2}, entries: class: "record"}
    	workers: {beat_within: "3s", fetch_wait: "500ms", cold: false}
    	backoff: "200ms"
    	retry: 8
    	spool: "%s"
    }
    """
        .formatted(workers.settings(), PASSWORD, spool);
  }

  private void submitJobs(DaemonProcess daemon, ChaosWorkers workers, PrintStream progress)
      throws InterruptedException {
    CountDownLatch running = new CountDownLatch(2 * CLIENTS_OF_EACH_KIND);
    List<ChaosFaktoryClient> faktoryClients = new ArrayList<>();
    for (int i = 0; i < CLIENTS_OF_EACH_KIND; i++) {
      ChaosFaktoryClient faktoryClient =
          new ChaosFaktoryClient(i, plan.seed(), daemon.faktory(), pushedJobIds, findings);
      faktoryClients.add(faktoryClient);
      ChaosHttpClient httpClient =
          new ChaosHttpClient(i, plan.seed(), http, daemon.http(), executions, findings);
      int httpJobs = jobsOfClient(plan.jobs() / 2, i);
      int faktoryJobs = jobsOfClient(plan.jobs() - plan.jobs() / 2, i);
      start("http client " + i, running, () -> httpClient.run(httpJobs, plan.seconds()));
      start("faktory client " + i, running, () -> faktoryClient.run(faktoryJobs, plan.seconds()));
    }
    FaultInjector faults =
        new FaultInjector(plan.seed(), http, daemon.operators(), workers, faktoryClients, findings);
    Thread faultThread = new Thread(faults::run, "fault injector");
    faultThread.setDaemon(true);
    if (plan.injectsFaults()) {
      faultThread.start();
    }
    awaitClients(running, progress);
    faultThread.interrupt();
    faultThread.join();
  }

  private void awaitClients(CountDownLatch running, PrintStream progress)
      throws InterruptedException {
    while (!running.await(PROGRESS_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
      progress.printf("\r%d of %d jobs submitted", findings.jobsSubmitted(), plan.jobs());
    }
    progress.printf(
        "\r%d of %d jobs submitted; waiting for the last to end%n",
        findings.jobsSubmitted(), plan.jobs());
  }

  /** A client's part of the jobs of its kind; the first clients have the remainder. */
  private static int jobsOfClient(int jobs, int client) {
    int remainder = jobs % CLIENTS_OF_EACH_KIND;
    return jobs / CLIENTS_OF_EACH_KIND + (client < remainder ? 1 : 0);
  }

  private void start(String name, CountDownLatch running, Client client) {
    Thread thread =
        new Thread(
            () -> {
              try {
                client.run();
              } catch (IOException | InterruptedException | RuntimeException e) {
                findings.violation(name + " ended: " + e);
              } finally {
                running.countDown();
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
  }

  private void checkInvariants(ChaosWorkers workers) {
    executions
        .executedRepeatedly(ChaosJobClass.RECORD.serialPrefix() + "-")
        .forEach(serial -> findings.violation("a job that is not idempotent ran twice: " + serial));
    workers.check(findings);
    if (findings.jobsEnded() != plan.jobs()) {
      findings.violation(findings.jobsEnded() + " ends of " + plan.jobs() + " jobs");
    }
  }
}
