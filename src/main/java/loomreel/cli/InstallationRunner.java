package loomreel.cli;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import loomreel.config.ConfigException;
import loomreel.config.ServeConfig;
import loomreel.decision.Settings;
import loomreel.server.DaemonConfig;
import loomreel.settings.FaktorySettings;
import loomreel.settings.Installation;
import loomreel.settings.InstallationFile;
import loomreel.settings.cue.CueException;

/**
 * The work of commands that read settings files. It is apart from the commands, so that {@code
 * serve} without a settings file loads none of the classes for them.
 */
final class InstallationRunner {
  private InstallationRunner() {}

  /** Runs {@code daemon}; the exit code. */
  static int runDaemon(Path file) {
    // Before the first logger is created.
    SystemLoggers.createLoggersWith(JsonLogging::logger);
    Installation installation;
    try {
      installation = InstallationFile.read(file);
    } catch (CueException e) {
      e.problems().forEach(System.err::println);
      return ExitCodes.USAGE;
    }
    return DispatcherRunner.run(
        DaemonConfig.of(installation, new SecureRandom().nextLong()),
        Optional.ofNullable(installation.faktory()),
        false,
        server -> {
          try {
            Installation next = InstallationFile.read(file);
            server
                .configReloader()
                .reload(DaemonConfig.of(next, 0), fixedChanges(installation, next));
          } catch (CueException e) {
            server.configReloader().reject(e.getMessage());
          }
        });
  }

  /** The sections that differ and that {@link ServeConfig} does not hold. */
  private static List<String> fixedChanges(Installation current, Installation next) {
    List<String> changes = new ArrayList<>();
    if (!Objects.equals(current.faktory(), next.faktory())) {
      changes.add("faktory");
    }
    if (!Objects.equals(current.workers(), next.workers())) {
      changes.add("workers");
    }
    return changes;
  }

  /** Runs {@code check}; the exit code. */
  static int checkFile(Path file) {
    try {
      Installation installation = InstallationFile.read(file);
      System.out.println(
          installation.name()
              + ": listen "
              + installation.listeners().httpAddress()
              + ", "
              + installation.jobClasses().size()
              + " classes, "
              + (installation.discoveryAddress() != null
                  ? "discovery " + installation.discoveryAddress()
                  : installation.workers().size() + " workers")
              + (installation.faktory() == null
                  ? ""
                  : ", Faktory at " + installation.faktory().listenAddress()));
      return ExitCodes.OK;
    } catch (CueException e) {
      e.problems().forEach(System.err::println);
      return ExitCodes.USAGE;
    }
  }

  /**
   * Reads Faktory's section of a settings file beside the platform's configuration.
   *
   * @return the section, if the file has one
   * @throws ConfigException with all that is wrong with the file
   */
  static Optional<FaktorySettings> readFaktorySettings(Path file, ServeConfig config)
      throws ConfigException {
    try {
      return Optional.ofNullable(
          InstallationFile.features(
                  file,
                  config.settings().classes().stream()
                      .map(Settings.RequestClass::name)
                      .collect(Collectors.toSet()),
                  config.settings().tenants().stream()
                      .map(Settings.Tenant::name)
                      .collect(Collectors.toSet()))
              .faktory());
    } catch (CueException e) {
      throw new ConfigException(e.getMessage());
    }
  }
}
