package loomreel.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import loomreel.settings.Installation;
import loomreel.settings.InstallationFile;
import loomreel.settings.cue.CueException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Reads a file of settings as {@code daemon} would, and stops there. */
@Command(name = "check", description = "Checks a file of settings; exit code 2 if it is no good, with all that is wrong.")
final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the file of an installation")
    private Path file;

    @Override
    public Integer call() {
        try {
            Installation i = InstallationFile.read(file);
            System.out.println(i.name() + ": listen " + i.listen().http() + ", " + i.classes().size() + " classes, "
                    + (i.discovery() != null ? "discovery " + i.discovery() : i.workers().size() + " copy workers")
                    + (i.faktory() == null ? "" : ", Faktory at " + i.faktory().listen()));
            return 0;
        } catch (CueException e) {
            e.problems().forEach(System.err::println);
            return 2;
        }
    }
}
