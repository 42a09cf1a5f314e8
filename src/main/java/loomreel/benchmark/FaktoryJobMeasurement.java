package loomreel.benchmark;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.standin.BackgroundThreads;
import loomreel.standin.DaemonProcess;
import loomreel.standin.FaktoryClient;

/**
 * One measurement of Faktory jobs from PUSH to ACK, with a worker as in a client library: one
 * worker id, and connections that each FETCH and ACK in turn. One instance measures once.
 */
final class FaktoryJobMeasurement {
  private static final int MAX_CLIENTS = 16;
  private static final double NANOS_PER_SECOND = 1e9;

  private final DaemonProcess daemon;
  private final BenchmarkJobs jobs;
  private final int jobCount;
  private final String queue;
  private final Map<String, Long> pushNanosById = new ConcurrentHashMap<>();
  private final LatencyRecorder latency = new LatencyRecorder();
  private final CountDownLatch remainingAcks;
  private final AtomicInteger remainingPushes;

  FaktoryJobMeasurement(DaemonProcess daemon, BenchmarkJobs jobs, int jobCount, String queue) {
    this.daemon = daemon;
    this.jobs = jobs;
    this.jobCount = jobCount;
    this.queue = queue;
    remainingAcks = new CountDownLatch(jobCount);
    remainingPushes = new AtomicInteger(jobCount);
  }

  /** Measures with a worker of {@code fetchConnections}, and clients that push without pause. */
  JobBenchmark.Throughput run(int fetchConnections) throws IOException, InterruptedException {
    List<FaktoryClient> connections = new ArrayList<>();
    String workerId = "measured-" + jobs.nextNumber();
    for (int i = 0; i < fetchConnections; i++) {
      FaktoryClient connection =
          new FaktoryClient(daemon.faktory(), null, workerId, "kind=faktory");
      connections.add(connection);
      BackgroundThreads.start(() -> fetchAndAcknowledge(connection));
    }
    long startNanos = System.nanoTime();
    // As many clients as the worker has connections, or the queue's growth would be measured.
    for (int i = 0; i < Math.min(MAX_CLIENTS, fetchConnections); i++) {
      BackgroundThreads.start(this::pushJobs);
    }
    remainingAcks.await();
    double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    for (FaktoryClient connection : connections) {
      connection.close();
    }
    return new JobBenchmark.Throughput(jobCount / seconds, latency);
  }

  private void pushJobs() throws IOException {
    try (FaktoryClient client = new FaktoryClient(daemon.faktory())) {
      while (remainingPushes.getAndDecrement() > 0) {
        String id = jobs.nextId();
        pushNanosById.put(id, System.nanoTime());
        client.callExpectingOk("PUSH " + BenchmarkJobs.json(id, queue));
      }
    }
  }

  private void fetchAndAcknowledge(FaktoryClient connection) throws IOException {
    while (remainingAcks.getCount() > 0) {
      if (connection.call("FETCH " + queue) instanceof String job) {
        connection.callExpectingOk("ACK {\"jid\":\"" + BenchmarkJobs.textField(job, "jid") + "\"}");
        long pushNanos = pushNanosById.get(BenchmarkJobs.textField(job, "client_jid"));
        latency.recordSince(pushNanos);
        remainingAcks.countDown();
      }
    }
  }
}
