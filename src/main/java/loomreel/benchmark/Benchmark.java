package loomreel.benchmark;

import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.standin.DaemonProcess;
import loomreel.standin.FaktoryClient;

/**
 * Measures one daemon's HTTP and Faktory servers in one run: pushes, round trips, and HTTP's
 * latency beside a flood of batches.
 */
public final class Benchmark {
  static final String MAX_HEAP = "-Xmx1g";

  private static final int[] CONNECTIONS = {1, 4, 16, 64};
  private static final int WORKER_SLOTS = 64;
  private static final int ROUND_TRIPS = 20_000;
  private static final int LATENCY_ROUNDS = 3;
  private static final int FLOOD_CONNECTIONS = 2;
  private static final long POLL_INTERVAL_MS = 10;

  private final PrintStream out;
  private final BenchmarkJobs jobs = new BenchmarkJobs();

  /**
   * Creates a benchmark.
   *
   * @param out where its tables go
   */
  public Benchmark(PrintStream out) {
    this.out = out;
  }

  /** Runs all measurements, in about a minute and a half. */
  public void run() throws IOException, InterruptedException {
    try (BenchmarkWorker httpWorker = new BenchmarkWorker(WORKER_SLOTS);
        DaemonProcess daemon = httpWorker.startDaemon(settings(httpWorker), MAX_HEAP)) {
      // The worker registers with its first FETCH; its labels give its kind.
      NoOpFaktoryWorker faktoryWorker =
          new NoOpFaktoryWorker(daemon.faktory(), "pages", WORKER_SLOTS);
      try {
        measureThroughput(daemon);
        measureLatency(daemon);
      } finally {
        faktoryWorker.close();
      }
    }
  }

  private static String settings(BenchmarkWorker httpWorker) {
    return httpWorker.settings(
        """
        	render: {repeat: "free", target: "2s", deadline: "4s", kind: "http"}
        	batch: {repeat: "free", target: "2s", deadline: "4s", kind: "faktory"}
        """,
        """
        	queues: {pages: class: "batch", later: class: "batch"}
        	workers: cold: false
        	backlog: {jobs: 1000000, bytes: "1GiB"}
        	may_mutate: true
        	spool: "none"
        """);
  }

  private void measureThroughput(DaemonProcess daemon) throws IOException, InterruptedException {
    out.println("connections   PUSH/s   Faktory round trips/s   HTTP round trips/s");
    for (int connections : CONNECTIONS) {
      long pushes = pushesPerSecond(daemon, connections);
      flush(daemon);
      long faktoryRoundTrips = faktoryRoundTripsPerSecond(daemon, connections);
      long httpRoundTrips = httpRoundTripsPerSecond(daemon, connections);
      out.printf("%11d %8d %23d %20d%n", connections, pushes, faktoryRoundTrips, httpRoundTrips);
    }
  }

  private void measureLatency(DaemonProcess daemon) throws IOException, InterruptedException {
    LatencyBenchmark.printHeader(out);
    for (int i = 0; i < LATENCY_ROUNDS; i++) {
      LatencyBenchmark.run(out, "without a flood", daemon, jobs, 0);
      LatencyBenchmark.run(out, "beside a PUSHB flood", daemon, jobs, FLOOD_CONNECTIONS);
      flush(daemon);
    }
  }

  /** Deletes all waiting jobs. */
  private static void flush(DaemonProcess daemon) throws IOException {
    try (FaktoryClient client = new FaktoryClient(daemon.faktory())) {
      client.callExpectingOk("FLUSH");
    }
  }

  private long pushesPerSecond(DaemonProcess daemon, int connections) throws InterruptedException {
    return ThroughputMeter.measure(
        connections,
        () -> {
          FaktoryClient client = new FaktoryClient(daemon.faktory());
          return () ->
              client.callExpectingOk("PUSH " + BenchmarkJobs.scheduledJson(jobs.nextId(), "later"));
        });
  }

  private long httpRoundTripsPerSecond(DaemonProcess daemon, int connections)
      throws InterruptedException {
    return ThroughputMeter.measure(
        connections,
        () -> {
          BlockingHttpClient client = new BlockingHttpClient(daemon.http());
          return () -> client.submit("/render", jobs.nextNumber());
        });
  }

  private long faktoryRoundTripsPerSecond(DaemonProcess daemon, int connections)
      throws IOException, InterruptedException {
    try (FaktoryClient info = new FaktoryClient(daemon.faktory())) {
      int doneBefore = jobsDone(info);
      long startNanos = System.nanoTime();
      AtomicInteger remaining = new AtomicInteger(ROUND_TRIPS);
      for (int i = 0; i < connections; i++) {
        BenchmarkThreads.start(() -> pushJobs(daemon, remaining));
      }
      while (jobsDone(info) - doneBefore < ROUND_TRIPS) {
        Thread.sleep(POLL_INTERVAL_MS);
      }
      return ROUND_TRIPS * TimeUnit.SECONDS.toNanos(1) / (System.nanoTime() - startNanos);
    }
  }

  private void pushJobs(DaemonProcess daemon, AtomicInteger remaining) throws IOException {
    try (FaktoryClient client = new FaktoryClient(daemon.faktory())) {
      while (remaining.getAndDecrement() > 0) {
        client.callExpectingOk("PUSH " + BenchmarkJobs.json(jobs.nextId(), "pages"));
      }
    }
  }

  private static int jobsDone(FaktoryClient info) throws IOException {
    return info.callForJson("INFO")
        .path("faktory")
        .path("tasks")
        .path("Ended")
        .path("done")
        .asInt();
  }
}
