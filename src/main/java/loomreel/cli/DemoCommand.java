package loomreel.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import loomreel.chaos.ChaosRun;
import picocli.CommandLine.Command;

/** {@code demo}: shows what the program does, on free ports of this machine. */
@Command(
    name = "demo",
    description =
        "Starts a daemon and workers of both kinds on free loopback ports, submits "
            + "some hundred jobs over HTTP and Faktory, and shows how they ended.")
final class DemoCommand implements Callable<Integer> {
  private static final long SEED = 1;
  private static final int JOBS = 600;
  private static final int SECONDS = 3;

  @Override
  public Integer call() throws IOException, InterruptedException {
    return new ChaosRun(new ChaosRun.Plan(SEED, JOBS, SECONDS, false))
        .run(System.out)
        .print(System.out);
  }
}
