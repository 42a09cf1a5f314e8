package loomreel.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code daemon}: runs a dispatcher in the foreground, configured by one settings file. */
@Command(
    name = "daemon",
    description =
        "Serves until SIGTERM, then until all jobs have ended. Configured by FILE alone; its log is"
            + " lines of JSON on standard error.")
final class DaemonCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "the settings of an installation")
  private Path file;

  @Override
  public Integer call() {
    return InstallationRunner.runDaemon(file);
  }
}
