package loomreel.cli;

import java.util.concurrent.Callable;
import loomreel.config.ConfigException;
import loomreel.config.ServeConfig;
import loomreel.config.ServeConfigReader;
import picocli.CommandLine.Command;

/** {@code check-config}: reads the configuration as {@code serve} would, and ends. */
@Command(
    name = "check-config",
    description = "Checks the file that BALANCER_CONFIG names; exit code 2 if it is invalid.")
final class CheckConfigCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    try {
      ServeConfig config = ServeConfigReader.read(System.getenv());
      System.out.println(
          config.name()
              + ": listen "
              + config.listenAddress()
              + ", discovery "
              + config.discoveryAddress()
              + ", "
              + config.settings().classes().size()
              + " classes, "
              + config.initialEndpoints().endpoints().size()
              + " workers known");
      return ExitCodes.OK;
    } catch (ConfigException e) {
      System.err.println("loomreel: " + e.getMessage());
      return ExitCodes.USAGE;
    }
  }
}
