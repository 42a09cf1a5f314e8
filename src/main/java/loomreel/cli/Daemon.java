package loomreel.cli;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.Callable;
import loomreel.server.DaemonConfig;
import loomreel.settings.Installation;
import loomreel.settings.InstallationFile;
import loomreel.settings.cue.CueException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** A dispatcher that is told everything by one file of settings. */
@Command(name = "daemon", description = "Serves until SIGTERM, then until empty. Configured by FILE alone; its log is "
        + "lines of JSON on standard error.")
final class Daemon implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the file of an installation")
    private Path file;

    @Override
    public Integer call() {
        // Before the first logger is made.
        SystemLoggers.use(JsonLines::logger);
        Installation installation;
        try {
            installation = InstallationFile.read(file);
        } catch (CueException e) {
            e.problems().forEach(System.err::println);
            return 2;
        }
        return Running.run(DaemonConfig.of(installation, new SecureRandom().nextLong()), installation.faktory(), server -> {
            try {
                Installation next = InstallationFile.read(file);
                server.reloaded(DaemonConfig.of(next, 0), next.equals(installation));
            } catch (CueException e) {
                server.notReloaded(e.getMessage());
            }
        });
    }
}
