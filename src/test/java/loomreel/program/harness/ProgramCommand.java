package loomreel.program.harness;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command lines that start the program, or a class of the tests, in a JVM of its own. */
public final class ProgramCommand {
  /** JVM flags of processes in tests, for a shorter start. */
  static final List<String> FAST_START_FLAGS = List.of("-XX:TieredStopAtLevel=1");

  private static final String MAIN_CLASS = "loomreel.cli.Main";

  private ProgramCommand() {}

  /**
   * The JVM flags between {@code java} and {@code -jar} in {@code run} of {@code
   * deploy/balancer.toml}.
   */
  static List<String> deployedFlags() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"exec java (.*?) -jar ")
            .matcher(Files.readString(Path.of("deploy", "balancer.toml")));
    assertTrue(run.find(), "run starts java by exec");
    return List.of(run.group(1).split(" +"));
  }

  /** A command of the program, with a configuration file and the address of discovery. */
  public static ProcessBuilder of(Path configuration, String command, String discovery) {
    return inEnvironment(configuration, discovery, program(FAST_START_FLAGS, command));
  }

  /** {@code serve} with these JVM flags. */
  static ProcessBuilder serve(Path configuration, String discovery, List<String> flags) {
    return inEnvironment(configuration, discovery, program(flags, "serve"));
  }

  /** The same under a supervisor that owns the listening socket. */
  static ProcessBuilder superviseServe(Path configuration, String discovery, List<String> flags) {
    List<String> command = java(flags);
    command.add(ListenerSupervisor.class.getName());
    command.addAll(program(flags, "serve"));
    ProcessBuilder builder = inEnvironment(configuration, discovery, command);
    builder.environment().put("BALANCER_LISTEN_FD", "0");
    return builder;
  }

  /** A command of the program with these JVM flags. */
  public static List<String> program(List<String> flags, String... arguments) {
    List<String> command = java(flags);
    command.add(MAIN_CLASS);
    command.addAll(List.of(arguments));
    return command;
  }

  private static List<String> java(List<String> flags) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    return command;
  }

  private static ProcessBuilder inEnvironment(
      Path configuration, String discovery, List<String> command) {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().keySet().removeIf(name -> name.startsWith("BALANCER_"));
    builder.environment().put("BALANCER_CONFIG", configuration.toString());
    builder.environment().put("BALANCER_DISCOVERY", discovery);
    return builder;
  }
}
