package loomreel.cli;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import loomreel.config.ConfigException;
import loomreel.config.ServeConfig;
import loomreel.config.ServeConfigReader;
import loomreel.training.ClassArchiveTraining;
import picocli.CommandLine.Command;

/** {@code train-archive}: the training run for the JVM's archive of classes. */
@Command(
    name = "train-archive",
    aliases = "rehearse",
    description =
        "Serves a few jobs of its own on loopback and ends. Run with "
            + "-XX:ArchiveClassesAtExit=FILE it writes an archive that makes later starts quicker.")
final class TrainArchiveCommand implements Callable<Integer> {
  @Override
  public Integer call() throws IOException, ConfigException {
    try (ClassArchiveTraining training = new ClassArchiveTraining()) {
      ServeConfig config =
          ServeConfigReader.read(Map.of("BALANCER_CONFIG", training.configuration().toString()));
      Thread client =
          new Thread(
              () -> {
                int code = ExitCodes.FAILURE;
                try {
                  code = training.submitJobs() > 0 ? ExitCodes.OK : ExitCodes.FAILURE;
                } finally {
                  // A graceful shutdown, as by SIGTERM; the JVM writes the archive at its end.
                  System.exit(code);
                }
              },
              "client");
      client.setDaemon(true);
      return DispatcherRunner.run(config, Optional.empty(), false, server -> {}, client::start);
    }
  }
}
