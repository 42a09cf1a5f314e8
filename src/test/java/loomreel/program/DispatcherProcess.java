package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The program as a process of its own, with discovery and copy workers that the test plays. */
final class DispatcherProcess extends DispatcherHarness {
  /** The JVM's flags of the tests' own processes: they start quicker so. */
  private static final List<String> FLAGS = List.of("-XX:TieredStopAtLevel=1");

  /** Gives a configuration an address for operators. */
  private static String withOperators(String configuration) {
    return configuration.replace("{\"name\"", "{\"mgmt\":\"127.0.0.1:0\",\"name\"");
  }

  final Process process;
  private final BufferedReader log;
  private final int port;
  private final Path file = Files.createTempFile("loomreel", ".json");
  final Path directory = Files.createTempDirectory("loomreel");

  /** The processes that the platform has started, and where each hears operators. */
  final List<ProcessHandle> started = new ArrayList<>();

  final List<Integer> operators = new ArrayList<>();

  DispatcherProcess(int workerCount, boolean probing) throws IOException {
    this(workerCount, probing, settings -> settings);
  }

  DispatcherProcess(int workerCount, boolean probing, UnaryOperator<String> change)
      throws IOException {
    this(workerCount, probing, change, false);
  }

  /**
   * One that operators look after; where the platform holds the listener, it can be started beside
   * itself.
   */
  static DispatcherProcess operated(int workerCount, boolean platform) throws IOException {
    return new DispatcherProcess(workerCount, false, DispatcherProcess::withOperators, platform);
  }

  /**
   * One started as the platform starts it: descriptor 0, operators, and the JVM's flags of {@code
   * run}.
   */
  static DispatcherProcess deployed(int workerCount) throws IOException {
    return new DispatcherProcess(
        workerCount, false, DispatcherProcess::withOperators, true, runFlags());
  }

  /**
   * The JVM's flags in {@code run} of {@code deploy/balancer.toml}: what stands between {@code
   * java} and {@code -jar}.
   */
  static List<String> runFlags() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"exec java (.*?) -jar ")
            .matcher(Files.readString(Path.of("deploy", "balancer.toml")));
    assertTrue(run.find(), "run starts java by exec");
    return List.of(run.group(1).split(" +"));
  }

  private DispatcherProcess(
      int workerCount, boolean probing, UnaryOperator<String> change, boolean platform)
      throws IOException {
    this(workerCount, probing, change, platform, FLAGS);
  }

  private DispatcherProcess(
      int workerCount,
      boolean probing,
      UnaryOperator<String> change,
      boolean platform,
      List<String> flags)
      throws IOException {
    super(workerCount);
    Files.writeString(file, change.apply(configuration(probing)));
    ProcessBuilder builder = builder(file, "serve", discovery.address(), flags);
    builder.environment().put("TMPDIR", directory.toString());
    if (platform) {
      builder.environment().put("BALANCER_LISTEN_FD", "0");
      List<String> child =
          new ArrayList<>(List.of(ListenerSupervisor.class.getName(), builder.command().get(0)));
      child.addAll(flags);
      child.addAll(List.of("-cp", System.getProperty("java.class.path")));
      builder.command().addAll(builder.command().indexOf("loomreel.cli.Main"), child);
    }
    process = builder.start();
    log = process.errorReader();
    if (platform) {
      startAnother();
    }
    port = port("listening for clients address");
    if (change.apply("{\"name\"").contains("mgmt")) {
      operators.add(port("admin server listening address"));
    }
  }

  private void startAnother() throws IOException {
    process.outputWriter().append('\n').flush();
    started.add(ProcessHandle.of(Long.parseLong(process.inputReader().readLine())).orElseThrow());
  }

  /** Starts the program beside itself, as an upgrade does, and waits until it is ready. */
  void upgrade() throws IOException {
    startAnother();
    operators.add(port("admin server listening address"));
    assertEquals(200, operate(started.size() - 1, "GET", "readiness", "").status());
  }

  private int port(String where) throws IOException {
    Matcher port = Pattern.compile(where + "[ =]/127.0.0.1:(\\d+)").matcher(awaitLog(where));
    assertTrue(port.find());
    return Integer.parseInt(port.group(1));
  }

  /** An operator's call to one of the processes. */
  Http.Message operate(int process, String method, String call, String body) throws IOException {
    try (Socket socket = connect(operators.get(process))) {
      Http.write(
          socket,
          method
              + " /ops/"
              + call
              + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
      return Http.read(socket);
    }
  }

  /**
   * What the figures say, where {@code name} is followed by a number, or by a class and a number.
   */
  int figure(int process, String name) throws IOException {
    String all = operate(process, "GET", "stats", "").body();
    Matcher figure =
        Pattern.compile("\"" + name.replace(".", "\":\\{[^}]*\"") + "\":(\\d+)").matcher(all);
    assertTrue(figure.find(), name + " in " + all);
    return Integer.parseInt(figure.group(1));
  }

  /**
   * Replaces discovery by another one that the configuration now names, and says so to the program.
   */
  Http.Peer moveDiscovery() throws Exception {
    Http.Peer before = discovery;
    discovery = new Http.Peer();
    configure(Files.readString(file).replace(before.address(), discovery.address()));
    signal("HUP");
    return before;
  }

  String configured() throws IOException {
    return Files.readString(file);
  }

  void configure(String text) throws IOException {
    Files.writeString(file, text);
  }

  void signal(String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor());
  }

  static Process start(Path config, String command, String discovery) throws IOException {
    return builder(config, command, discovery).start();
  }

  static ProcessBuilder builder(Path config, String command, String discovery) {
    return builder(config, command, discovery, FLAGS);
  }

  static ProcessBuilder builder(Path config, String command, String discovery, List<String> flags) {
    List<String> line =
        new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    line.addAll(flags);
    line.addAll(
        List.of("-cp", System.getProperty("java.class.path"), "loomreel.cli.Main", command));
    ProcessBuilder builder = new ProcessBuilder(line);
    builder.environment().keySet().removeIf(name -> name.startsWith("BALANCER_"));
    builder.environment().put("BALANCER_CONFIG", config.toString());
    builder.environment().put("BALANCER_DISCOVERY", discovery);
    return builder;
  }

  String awaitLog(String part) throws IOException {
    StringBuilder seen = new StringBuilder();
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(part)) {
        return line;
      }
      seen.append(line).append('\n');
    }
    throw new AssertionError("never logged: " + part + "\n" + seen);
  }

  @Override
  int port() {
    return port;
  }

  @Override
  public void close() throws IOException {
    if (started.isEmpty()) {
      process.destroyForcibly();
    } else {
      process.outputWriter().close();
    }
    process.onExit().join();
    try (Stream<Path> left = Files.list(directory)) {
      for (Path path : left.toList()) {
        Files.delete(path);
      }
    }
    Files.delete(directory);
    Files.delete(file);
    super.close();
  }
}
