package loomreel.cli;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import loomreel.admin.AdminServer;
import loomreel.config.ServeConfig;
import loomreel.io.TraceWriter;
import loomreel.server.Server;
import loomreel.settings.FaktorySettings;
import sun.misc.Signal;

/** Runs a dispatcher in the foreground, until SIGTERM and the graceful shutdown after it. */
final class DispatcherRunner {
  private DispatcherRunner() {}

  /**
   * Runs a dispatcher; the exit code.
   *
   * @param faktory empty where Faktory is off
   * @param isTraced whether events are traced on standard error
   * @param onHangUp called at SIGHUP, on the JVM's signal thread
   */
  static int run(
      ServeConfig config,
      Optional<FaktorySettings> faktory,
      boolean isTraced,
      Consumer<Server> onHangUp) {
    return run(config, faktory, isTraced, onHangUp, () -> {});
  }

  /**
   * Runs a dispatcher; the exit code.
   *
   * @param onListening called once, on the calling thread, when the dispatcher listens
   */
  static int run(
      ServeConfig config,
      Optional<FaktorySettings> faktory,
      boolean isTraced,
      Consumer<Server> onHangUp,
      Runnable onListening) {
    Server server;
    try {
      server =
          new Server(
              config,
              faktory,
              isTraced ? Optional.of(new TraceWriter(System.err)) : Optional.empty());
      if (config.adminAddress() != null) {
        new AdminServer(server.loop(), config.adminAddress(), server.adminOperations());
      }
    } catch (IOException e) {
      System.err.println("loomreel: cannot listen: " + e.getMessage());
      return ExitCodes.FAILURE;
    }
    // Without a handler the JVM would end on SIGHUP as on SIGTERM.
    Signal.handle(new Signal("HUP"), signal -> onHangUp.accept(server));
    CountDownLatch serverEnded = new CountDownLatch(1);
    // The JVM ends when its shutdown hooks have: this one waits until all accepted jobs have ended.
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  server.shutDown();
                  try {
                    serverEnded.await();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                },
                "drain"));
    onListening.run();
    try {
      server.run();
      return ExitCodes.OK;
    } catch (IOException e) {
      System.err.println("loomreel: " + e.getMessage());
      return ExitCodes.FAILURE;
    } finally {
      serverEnded.countDown();
    }
  }
}
