package loomreel.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import loomreel.config.ConfigException;
import loomreel.config.ServeConfig;
import loomreel.decision.Model;
import loomreel.settings.FaktorySettings;
import loomreel.settings.InstallationFile;
import loomreel.settings.cue.CueException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The real dispatcher, in the foreground. */
@Command(name = "serve", description = "Serves until SIGTERM, then until empty. Configured by "
        + "BALANCER_CONFIG, which SIGHUP has read again.")
final class Serve implements Callable<Integer> {
    @Option(names = "--settings", paramLabel = "FILE",
            description = "what the platform's configuration does not hold: see `loomreel schema`, #Features")
    private Path settings;

    @Override
    public Integer call() {
        try {
            ServeConfig config = ServeConfig.read(System.getenv());
            FaktorySettings faktory = settings == null ? null : features(config).faktory();
            return Running.run(config, faktory, server -> server.reload(System.getenv()));
        } catch (ConfigException e) {
            System.err.println("loomreel: " + e.getMessage());
            return 2;
        }
    }

    private InstallationFile.Features features(ServeConfig config) throws ConfigException {
        try {
            return InstallationFile.features(settings,
                    config.settings().classes().stream().map(Model.RequestClass::name).collect(Collectors.toSet()),
                    config.settings().tenants().stream().map(Model.Tenant::name).collect(Collectors.toSet()));
        } catch (CueException e) {
            throw new ConfigException(e.getMessage());
        }
    }
}
