package loomreel.benchmark;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import loomreel.standin.DaemonProcess;
import loomreel.standin.FaktoryClient;

/**
 * Measures the latency of HTTP jobs that are submitted at fixed times, beside connections that push
 * batches over Faktory as fast as they can. A job that starts late, because another was late,
 * counts from the time at which it was due.
 */
final class LatencyBenchmark {
  private static final int JOBS_PER_SECOND = 200;
  private static final int SECONDS = 6;
  private static final int JOBS = JOBS_PER_SECOND * SECONDS;
  private static final int CLIENTS = 8;
  private static final int BATCH_SIZE = 1000;
  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final DaemonProcess daemon;
  private final BenchmarkJobs jobs;
  private final LatencyRecorder latency = new LatencyRecorder();

  private LatencyBenchmark(DaemonProcess daemon, BenchmarkJobs jobs) {
    this.daemon = daemon;
    this.jobs = jobs;
  }

  static void printHeader(PrintStream out) {
    out.println(
        "HTTP jobs at "
            + JOBS_PER_SECOND
            + " a second, ms         p50     p99     max   PUSHB jobs/s meanwhile");
  }

  /**
   * Measures and prints a row.
   *
   * @param batchConnections how many connections push batches meanwhile
   */
  static void run(
      PrintStream out, String name, DaemonProcess daemon, BenchmarkJobs jobs, int batchConnections)
      throws InterruptedException {
    LatencyBenchmark benchmark = new LatencyBenchmark(daemon, jobs);
    double pushesPerSecond = benchmark.measure(batchConnections);
    LatencyRecorder latency = benchmark.latency;
    out.printf(
        "%-36s %7.2f %7.2f %7.2f %12.0f%n",
        name,
        latency.percentileMillis(50),
        latency.percentileMillis(99),
        latency.maxMillis(),
        pushesPerSecond);
  }

  /** Records latencies; returns the jobs per second that were pushed in batches meanwhile. */
  private double measure(int batchConnections) throws InterruptedException {
    AtomicBoolean stopped = new AtomicBoolean();
    AtomicLong pushed = new AtomicLong();
    List<Thread> pushers = new ArrayList<>();
    for (int i = 0; i < batchConnections; i++) {
      pushers.add(BenchmarkThreads.start(() -> pushBatches(stopped, pushed)));
    }
    long startNanos = System.nanoTime();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      clients.add(BenchmarkThreads.start(() -> submitJobs(client, startNanos)));
    }
    BenchmarkThreads.join(clients);
    long elapsedNanos = System.nanoTime() - startNanos;
    stopped.set(true);
    BenchmarkThreads.join(pushers);
    return (double) pushed.get() * NANOS_PER_SECOND / elapsedNanos;
  }

  private void pushBatches(AtomicBoolean stopped, AtomicLong pushed) throws IOException {
    try (FaktoryClient client = new FaktoryClient(daemon.faktory())) {
      while (!stopped.get()) {
        String batch = BenchmarkJobs.scheduledBatch(BATCH_SIZE, "later", jobs::nextId);
        pushed.addAndGet(BATCH_SIZE - client.callForJson(batch).size());
      }
    }
  }

  private void submitJobs(int firstJob, long startNanos) throws IOException {
    try (BlockingHttpClient client = new BlockingHttpClient(daemon.http())) {
      for (int job = firstJob; job < JOBS; job += CLIENTS) {
        long dueNanos = startNanos + job * NANOS_PER_SECOND / JOBS_PER_SECOND;
        parkUntil(dueNanos);
        client.submit("/render", jobs.nextNumber());
        latency.recordSince(dueNanos);
      }
    }
  }

  private static void parkUntil(long nanoTime) {
    long waitNanos = nanoTime - System.nanoTime();
    while (waitNanos > 0) {
      LockSupport.parkNanos(waitNanos);
      waitNanos = nanoTime - System.nanoTime();
    }
  }
}
