package loomreel.benchmark;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.standin.BackgroundThreads;
import loomreel.standin.DaemonProcess;
import loomreel.standin.FaktoryClient;
import loomreel.standin.TemporaryDirectory;

/**
 * Measures Faktory jobs from PUSH to ACK at one daemon with durable storage. Beside it, in the same
 * run: HTTP on the same machine, the disk's own fsync, and a restart after a kill.
 */
public final class JobBenchmark {
  private static final int[] FETCH_CONNECTIONS = {1, 10, 100};
  private static final int HTTP_SLOTS = 256;
  private static final int BATCH_SIZE = 1000;
  private static final int FIRST_WAITING_ID = 1_000_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrintStream out;
  private final int jobCount;
  private final int waitingJobs;
  private final BenchmarkJobs jobs = new BenchmarkJobs();

  /** The result of one measurement. */
  record Throughput(double jobsPerSecond, LatencyRecorder latency) {}

  /**
   * Creates a benchmark.
   *
   * @param out where its tables go
   * @param jobCount the jobs of each measurement
   * @param waitingJobs how many jobs wait when the daemon is restarted
   */
  public JobBenchmark(PrintStream out, int jobCount, int waitingJobs) {
    this.out = out;
    this.jobCount = jobCount;
    this.waitingJobs = waitingJobs;
  }

  /** Runs all measurements. */
  public void run() throws IOException, InterruptedException {
    try (TemporaryDirectory spool = new TemporaryDirectory();
        BenchmarkWorker httpWorker = new BenchmarkWorker(HTTP_SLOTS)) {
      String settings = settings(httpWorker, spool.path());
      try (DaemonProcess daemon = httpWorker.startDaemon(settings, Benchmark.MAX_HEAP)) {
        measureThroughput(daemon);
        pushWaitingJobs(daemon);
        daemon.kill();
      }
      DiskSyncBenchmark.run(out, spool.path().resolve("raw"));
      measureRestart(settings);
    }
  }

  private static String settings(BenchmarkWorker httpWorker, Path spool) {
    return httpWorker.settings(
        """
        	web: {repeat: "free", target: "2s", deadline: "4s", kind: "http"}
        	render: {repeat: "free", target: "2s", deadline: "4s", kind: "faktory"}
        	record: {repeat: "single_shot", target: "2s", deadline: "4s", kind: "faktory"}
        """,
        """
        	queues: {pages: class: "render", entries: class: "record", later: class: "render"}
        	backlog: {jobs: 1000000, bytes: "256MiB"}
        	spool: "%s"
        """
            .formatted(spool));
  }

  private void measureThroughput(DaemonProcess daemon) throws IOException, InterruptedException {
    out.println("fetches  class               jobs/s   p50 ms   p99 ms   HTTP jobs/s   ratio");
    for (int connections : FETCH_CONNECTIONS) {
      // The first measurement only warms up the daemon for the next ones.
      measureFaktory(daemon, connections, "pages");
      Throughput http = measureHttp(daemon, connections);
      print(connections, "written", measureFaktory(daemon, connections, "pages"), http);
      print(connections, "synced", measureFaktory(daemon, connections, "entries"), http);
    }
  }

  private Throughput measureFaktory(DaemonProcess daemon, int connections, String queue)
      throws IOException, InterruptedException {
    return new FaktoryJobMeasurement(daemon, jobs, jobCount, queue).run(connections);
  }

  private void print(int connections, String durability, Throughput faktory, Throughput http) {
    out.printf(
        "%7d  %-16s %9.0f %8.2f %8.2f %13.0f %7.2f%n",
        connections,
        durability,
        faktory.jobsPerSecond(),
        faktory.latency().percentileMillis(50),
        faktory.latency().percentileMillis(99),
        http.jobsPerSecond(),
        faktory.jobsPerSecond() / http.jobsPerSecond());
  }

  private Throughput measureHttp(DaemonProcess daemon, int connections)
      throws InterruptedException {
    LatencyRecorder latency = new LatencyRecorder();
    AtomicInteger remaining = new AtomicInteger(jobCount);
    CountDownLatch running = new CountDownLatch(connections);
    long startNanos = System.nanoTime();
    for (int i = 0; i < connections; i++) {
      BackgroundThreads.start(
          () -> {
            try (BlockingHttpClient client = new BlockingHttpClient(daemon.http())) {
              while (remaining.getAndDecrement() > 0) {
                long sentNanos = System.nanoTime();
                client.submit("/web", jobs.nextNumber());
                latency.recordSince(sentNanos);
              }
            } finally {
              running.countDown();
            }
          });
    }
    running.await();
    double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    return new Throughput(jobCount / seconds, latency);
  }

  private void pushWaitingJobs(DaemonProcess daemon) throws IOException {
    AtomicInteger nextId = new AtomicInteger(FIRST_WAITING_ID);
    try (FaktoryClient client = new FaktoryClient(daemon.faktory())) {
      for (int pushed = 0; pushed < waitingJobs; pushed += BATCH_SIZE) {
        String batch =
            BenchmarkJobs.scheduledBatch(
                BATCH_SIZE, "later", () -> "r-" + nextId.getAndIncrement());
        if (client.callForJson(batch).size() > 0) {
          throw new IOException("jobs were rejected");
        }
      }
    }
  }

  private void measureRestart(String settings) throws IOException {
    long startNanos = System.nanoTime();
    try (DaemonProcess daemon =
            new DaemonProcess(DaemonProcess.writeSettings(settings), restartFlags());
        FaktoryClient client = new FaktoryClient(daemon.faktory())) {
      double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
      int recovered =
          client
              .callForJson("INFO")
              .path("faktory")
              .path("tasks")
              .path("Scheduled")
              .path("size")
              .asInt();
      out.printf(
          "restart after a kill with %d jobs waiting: %d there after %.2f s%n",
          waitingJobs, recovered, seconds);
    }
  }

  /** The JVM's flags as {@code ./loomreel} sets them: with the class archive, if there is one. */
  private static String[] restartFlags() {
    Path archive = Path.of(System.getProperty("java.class.path")).resolveSibling("loomreel.jsa");
    return Files.exists(archive)
        ? new String[] {Benchmark.MAX_HEAP, "-XX:SharedArchiveFile=" + archive, "-Xlog:disable"}
        : new String[] {Benchmark.MAX_HEAP};
  }
}
