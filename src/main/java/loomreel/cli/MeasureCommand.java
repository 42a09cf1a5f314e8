package loomreel.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import loomreel.standin.Measure;
import picocli.CommandLine.Command;

/** Figures of both fronts, from this machine. */
@Command(name = "measure", description = "Measures a daemon on loopback: pushes and round trips a second over Faktory beside "
        + "HTTP, and HTTP's latency beside a flood of batches.")
final class MeasureCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException, InterruptedException {
        new Measure(System.out).run();
        return 0;
    }
}
