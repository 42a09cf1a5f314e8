package loomreel.cli;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import loomreel.config.ConfigException;
import loomreel.config.ServeConfig;
import loomreel.config.ServeConfigReader;
import loomreel.settings.FaktorySettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code serve}: runs a dispatcher in the foreground, configured by the platform. */
@Command(
    name = "serve",
    description =
        "Serves until SIGTERM, then until all jobs have ended. Configured by "
            + "BALANCER_CONFIG; SIGHUP reloads it.")
final class ServeCommand implements Callable<Integer> {
  @Option(
      names = "--settings",
      paramLabel = "FILE",
      description =
          "settings that the platform's configuration does not hold: see `loomreel schema`,"
              + " #Features")
  private Path settings;

  @Option(
      names = "--trace",
      description =
          "writes each event to standard error as JSON lines, for `loomreel trace-summary`")
  private boolean isTraced;

  @Override
  public Integer call() {
    try {
      ServeConfig config = ServeConfigReader.read(System.getenv());
      Optional<FaktorySettings> faktory =
          settings == null
              ? Optional.empty()
              : InstallationRunner.readFaktorySettings(settings, config);
      return DispatcherRunner.run(
          config, faktory, isTraced, server -> server.configReloader().reload(System.getenv()));
    } catch (ConfigException e) {
      System.err.println("loomreel: " + e.getMessage());
      return ExitCodes.USAGE;
    }
  }
}
