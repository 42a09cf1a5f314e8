package loomreel.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import loomreel.chaos.ChaosRun;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code chaos}: runs clients and workers of both protocols with injected faults. */
@Command(
    name = "chaos",
    aliases = "mixed",
    description =
        "Runs clients and workers of both kinds against a daemon on loopback, kills workers, cuts"
            + " connections, and checks that each job has one end and that no job ran twice which"
            + " is not idempotent. Exit code 1 if not.")
final class ChaosCommand implements Callable<Integer> {
  @Option(names = "--jobs", description = "how many jobs (default ${DEFAULT-VALUE})")
  private int jobs = 12_000;

  @Option(
      names = "--seconds",
      description = "the time they are spread over (default ${DEFAULT-VALUE})")
  private int seconds = 30;

  @Option(
      names = "--seed",
      description = "the seed of the faults and the jobs (default ${DEFAULT-VALUE})")
  private long seed = 1;

  @Override
  public Integer call() throws IOException, InterruptedException {
    System.out.println("seed " + seed);
    return new ChaosRun(new ChaosRun.Plan(seed, jobs, seconds, true))
        .run(System.out)
        .print(System.out);
  }
}
