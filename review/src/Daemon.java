import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * A dispatcher of one settings file with Faktory, as deploy/loomreel.cue describes one: the classes
 * copy (free) and issue (single_shot), a queue for each, and a spool.
 */
final class Daemon {
  static final String BOTH_QUEUES =
      "copies: {class: \"copy\"}, issues: {class: \"issue\", weight: 2}";
  static final String COPIES_ONLY = "copies: {class: \"copy\"}";

  private final Run run;
  private final Path file;
  private final int httpPort = Faktory.freePort();
  private final int faktoryPort = Faktory.freePort();
  private final String workers;
  Run.Program program;

  Daemon(Run run) throws IOException {
    this(run, "workers: {}");
  }

  /**
   * A dispatcher with HTTP workers.
   *
   * @param workers the line of the settings that names them
   */
  Daemon(Run run, String workers) throws IOException {
    this.run = run;
    this.workers = workers;
    file = run.temporary.resolve("settings.cue");
  }

  int port() {
    return faktoryPort;
  }

  int httpPort() {
    return httpPort;
  }

  /** Writes the settings and starts the dispatcher. */
  void start(String queues) throws Exception {
    Files.writeString(
        file,
        String.join(
            "\n",
            "name: \"office\"",
            "listen: http: \"127.0.0.1:" + httpPort + "\"",
            "classes: {",
            "  copy: {repeat: \"free\", target: \"1s\", stretch: 2, deadline: \"5s\", worth: 5}",
            "  issue: {repeat: \"single_shot\", target: \"1s\", stretch: 2, deadline: \"5s\"}",
            "}",
            workers,
            "faktory: {",
            "  listen: \"127.0.0.1:" + faktoryPort + "\"",
            "  queues: {" + queues + "}",
            "  workers: on_stop: \"stay\"",
            "  spool: \"" + run.temporary.resolve("spool") + "\"",
            "}",
            ""));
    program = run.start("daemon", Run.daemonCommand(file), Map.of(), false);
    Run.require(
        30,
        "the daemon listens",
        () -> {
          if (!program.process.isAlive()) {
            throw new IllegalStateException("the daemon has ended");
          }
          try (Faktory probe = new Faktory(faktoryPort, null)) {
            return true;
          } catch (IOException e) {
            return false;
          }
        });
    run.log("daemon listens, queues: " + queues);
  }

  /** Ends the dispatcher by SIGTERM; no time limit of the pages is shorter than this one. */
  void stop() throws Exception {
    program.terminate(20);
  }

  Faktory client() throws IOException {
    return new Faktory(faktoryPort, null);
  }
}
