package loomreel.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import loomreel.benchmark.Benchmark;
import loomreel.benchmark.JobBenchmark;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code benchmark}: measures HTTP and Faktory on this machine. */
@Command(
    name = "benchmark",
    aliases = "measure",
    description =
        "Measures a daemon on loopback: pushes and round trips a second over Faktory beside HTTP,"
            + " and HTTP's latency beside a flood of batches. With --jobs: jobs from PUSH to ACK"
            + " with 1, 10 and 100 fetches at a time, what the spool costs, and a restart.")
final class BenchmarkCommand implements Callable<Integer> {
  @Option(
      names = "--jobs",
      paramLabel = "N",
      description = "measures N jobs at a time from PUSH to ACK, with a spool")
  private int jobs;

  @Option(
      names = "--waiting",
      defaultValue = "100000",
      description = "how many jobs wait at the restart: ${DEFAULT-VALUE}")
  private int waiting;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (jobs > 0) {
      new JobBenchmark(System.out, jobs, waiting).run();
    } else {
      new Benchmark(System.out).run();
    }
    return ExitCodes.OK;
  }
}
