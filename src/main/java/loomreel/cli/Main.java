package loomreel.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The command line: {@code java -jar loomreel.jar COMMAND}. */
@Command(
    name = "loomreel",
    description = "Dispatches jobs to workers.",
    mixinStandardHelpOptions = true,
    versionProvider = VersionCommand.class,
    subcommands = {
      ServeCommand.class,
      DaemonCommand.class,
      DemoCommand.class,
      ChaosCommand.class,
      BenchmarkCommand.class,
      CheckConfigCommand.class,
      CheckCommand.class,
      SchemaCommand.class,
      SimulateCommand.class,
      TrainArchiveCommand.class,
      TraceSummaryCommand.class,
      VersionCommand.class,
      CommandLine.HelpCommand.class
    })
public final class Main implements Callable<Integer> {
  @Spec private CommandSpec spec;

  private Main() {}

  /**
   * Runs one command; the process ends with its exit code.
   *
   * @param args the command and its options
   */
  public static void main(String[] args) {
    if (args.length == 1 && args[0].equals("serve")) {
      // The platform's command line has no options, and loading picocli would make each start of a
      // fleet slower.
      System.exit(new ServeCommand().call());
    }
    System.exit(new CommandLine(new Main()).execute(args));
  }

  @Override
  public Integer call() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
