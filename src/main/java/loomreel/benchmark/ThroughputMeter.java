package loomreel.benchmark;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** Measures the rate at which several connections together complete an operation. */
final class ThroughputMeter {
  private static final long WARM_UP_MS = 1000;
  private static final long MEASUREMENT_MS = 3000;

  private ThroughputMeter() {}

  /** An operation that a connection repeats, one at a time. */
  interface Operation {
    void run() throws IOException;
  }

  /** Opens a connection, and gives the operation that is repeated on it. */
  interface Connector {
    Operation connect() throws IOException;
  }

  /** The operations per second of all connections, each on a thread of its own. */
  static long measure(int connections, Connector connector) throws InterruptedException {
    AtomicLong completed = new AtomicLong();
    AtomicBoolean stopped = new AtomicBoolean();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < connections; i++) {
      threads.add(
          BenchmarkThreads.start(
              () -> {
                Operation operation = connector.connect();
                while (!stopped.get()) {
                  operation.run();
                  completed.incrementAndGet();
                }
              }));
    }
    Thread.sleep(WARM_UP_MS);
    long completedBefore = completed.get();
    long startNanos = System.nanoTime();
    Thread.sleep(MEASUREMENT_MS);
    long count = completed.get() - completedBefore;
    long elapsedNanos = System.nanoTime() - startNanos;
    stopped.set(true);
    BenchmarkThreads.join(threads);
    return count * TimeUnit.SECONDS.toNanos(1) / elapsedNanos;
  }
}
