package loomreel.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import loomreel.simulator.MalformedBatchException;
import loomreel.simulator.SimulatorAdapter;
import picocli.CommandLine.Command;

/** {@code simulate}: makes decisions for the simulator. */
@Command(
    name = "simulate",
    aliases = "benchlink",
    description =
        "Makes the same decisions for the simulator, by its protocol on standard input and output.")
final class SimulateCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    try {
      new SimulatorAdapter(System.in, System.out).run();
      return ExitCodes.OK;
    } catch (MalformedBatchException | IOException e) {
      System.err.println("simulate: " + e.getMessage());
      return ExitCodes.FAILURE;
    }
  }
}
