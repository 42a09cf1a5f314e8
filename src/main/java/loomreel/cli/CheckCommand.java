package loomreel.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code check}: reads a settings file as {@code daemon} would, and ends. */
@Command(
    name = "check",
    description = "Checks a settings file; exit code 2 if it is invalid, with all its problems.")
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "the settings of an installation")
  private Path file;

  @Override
  public Integer call() {
    return InstallationRunner.checkFile(file);
  }
}
