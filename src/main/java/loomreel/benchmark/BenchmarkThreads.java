package loomreel.benchmark;

import java.io.IOException;
import java.util.List;
import loomreel.standin.BackgroundThreads;

/** Threads of benchmarks: unlike {@link BackgroundThreads}, a failed connection is an error. */
final class BenchmarkThreads {
  private BenchmarkThreads() {}

  /** What such a thread does, once. */
  interface Task {
    void run() throws IOException;
  }

  /** Starts a thread that does not hold the JVM; an I/O error ends it with a stack trace. */
  static Thread start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Waits until all threads have ended. */
  static void join(List<Thread> threads) throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
  }
}
