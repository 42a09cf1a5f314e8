package loomreel.standin;

import java.io.IOException;

/** Threads of stand-ins: each ends with its connection, and none keeps the JVM alive. */
public final class BackgroundThreads {
  private BackgroundThreads() {}

  /** What such a thread does. A closed connection or an interrupt ends it, and is no error. */
  public interface Task {
    /** Runs the task once. */
    void run() throws IOException, InterruptedException;
  }

  /** Starts a daemon thread for a task. */
  public static void start(Task work) {
    daemon(
            () -> {
              try {
                work.run();
              } catch (IOException | InterruptedException e) {
                // The other side closed the connection, or the run is over.
              }
            })
        .start();
  }

  /** A daemon thread that has not been started. */
  static Thread daemon(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    return thread;
  }
}
