package loomreel.program.harness;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Creates the command lines and the environment variables with which tests start the program in a
 * separate JVM. A test starts the program directly or with a {@link ListenerSupervisor}.
 */
public final class ProgramCommand {
  /** The JVM flags that make processes start faster in tests. */
  static final List<String> FAST_START_FLAGS = List.of("-XX:TieredStopAtLevel=1");

  private static final String MAIN_CLASS = "loomreel.cli.Main";

  private ProgramCommand() {}

  /**
   * Returns the JVM flags with which the program is deployed. In {@code deploy/balancer.toml}, the
   * value of {@code run} is the command that starts the program. The flags are the words between
   * {@code java} and {@code -jar} in this command.
   */
  public static List<String> deployedFlags() throws IOException {
    Matcher runLine =
        Pattern.compile("(?m)^run = \"exec java (.*?) -jar ")
            .matcher(Files.readString(Path.of("deploy", "balancer.toml")));
    assertTrue(runLine.find(), "run in deploy/balancer.toml starts with exec java");
    return List.of(runLine.group(1).split(" +"));
  }

  /**
   * Returns a process builder that runs a command of the program, with {@link #FAST_START_FLAGS}.
   *
   * @param command the name of the command, for example serve
   * @param discoveryAddress the address of discovery, as host:port
   */
  public static ProcessBuilder of(Path configurationFile, String command, String discoveryAddress) {
    return builderWithEnvironment(
        configurationFile, discoveryAddress, program(FAST_START_FLAGS, command));
  }

  /** Returns a process builder that runs the command {@code serve} with these JVM flags. */
  static ProcessBuilder serve(Path configurationFile, String discoveryAddress, List<String> flags) {
    return builderWithEnvironment(configurationFile, discoveryAddress, program(flags, "serve"));
  }

  /**
   * Returns a process builder that runs a {@link ListenerSupervisor}. The child processes of this
   * supervisor run the command {@code serve}. The supervisor and its child processes have the same
   * JVM flags.
   */
  static ProcessBuilder superviseServe(
      Path configurationFile, String discoveryAddress, List<String> flags) {
    List<String> command = jvmCommand(flags);
    command.add(ListenerSupervisor.class.getName());
    command.addAll(program(flags, "serve"));
    ProcessBuilder builder = builderWithEnvironment(configurationFile, discoveryAddress, command);
    builder.environment().put("BALANCER_LISTEN_FD", "0");
    return builder;
  }

  /**
   * Returns the command line that starts the program in a JVM.
   *
   * @param flags the JVM flags
   * @param arguments the name of a command of the program, followed by the command's arguments
   */
  public static List<String> program(List<String> flags, String... arguments) {
    List<String> command = jvmCommand(flags);
    command.add(MAIN_CLASS);
    command.addAll(List.of(arguments));
    return command;
  }

  private static List<String> jvmCommand(List<String> flags) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    return command;
  }

  private static ProcessBuilder builderWithEnvironment(
      Path configurationFile, String discoveryAddress, List<String> command) {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().keySet().removeIf(name -> name.startsWith("BALANCER_"));
    builder.environment().put("BALANCER_CONFIG", configurationFile.toString());
    builder.environment().put("BALANCER_DISCOVERY", discoveryAddress);
    return builder;
  }
}
