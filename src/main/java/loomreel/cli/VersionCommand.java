package loomreel.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** {@code version}: prints the version, which the build writes into the jar. */
@Command(name = "version", description = "Prints the version.")
final class VersionCommand implements Callable<Integer>, IVersionProvider {
  @Override
  public String[] getVersion() {
    String version = VersionCommand.class.getPackage().getImplementationVersion();
    return new String[] {"loomreel " + (version == null ? "(not built as a jar)" : version)};
  }

  @Override
  public Integer call() {
    System.out.println(getVersion()[0]);
    return ExitCodes.OK;
  }
}
