package loomreel.program.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The program as a process of its own, with {@code serve}.
 *
 * <p>Under a supervisor the dispatcher can be replaced: {@link #instances} are the dispatchers that
 * were started one after the other, and {@link #process} is the supervisor.
 */
public final class DispatcherProcess extends DispatcherHarness {
  private static final String FIRST_LIST_LOGGED = "first endpoint list received";

  private final Process process;
  private final Path temporaryDirectory = Files.createTempDirectory("loomreel");
  private final List<ProcessHandle> instances = new ArrayList<>();
  private final List<Integer> managementPorts = new ArrayList<>();
  private final Path configurationFile = Files.createTempFile("loomreel", ".json");
  private final TestConfiguration configuration;
  private final BufferedReader log;
  private final int port;

  /** Whether a supervisor owns the listening socket. */
  private enum Listener {
    OWNED,
    SUPERVISED
  }

  /** A dispatcher with the standard configuration. */
  public DispatcherProcess(int workerCount) throws IOException {
    this(workerCount, new TestConfiguration());
  }

  /** A dispatcher with a configuration of the test. */
  public DispatcherProcess(int workerCount, TestConfiguration configuration) throws IOException {
    this(workerCount, configuration, Listener.OWNED, ProgramCommand.FAST_START_FLAGS);
  }

  private DispatcherProcess(
      int workerCount, TestConfiguration requested, Listener listener, List<String> flags)
      throws IOException {
    super(workerCount);
    configuration = complete(requested);
    writeConfiguration(configuration.toJson());
    ProcessBuilder builder =
        listener == Listener.SUPERVISED
            ? ProgramCommand.superviseServe(configurationFile, discovery().address(), flags)
            : ProgramCommand.serve(configurationFile, discovery().address(), flags);
    builder.environment().put("TMPDIR", temporaryDirectory.toString());
    process = builder.start();
    log = process.errorReader();
    if (listener == Listener.SUPERVISED) {
      startInstance();
    }
    port = awaitLoggedPort("listening for clients address");
    if (configuration.hasManagementApi()) {
      managementPorts.add(awaitLoggedPort("admin server listening address"));
    }
    if (configuration.isKnownListConfirmed()) {
      awaitLog(FIRST_LIST_LOGGED);
    }
  }

  /** A dispatcher with a management API. */
  public static DispatcherProcess managed(int workerCount) throws IOException {
    return new DispatcherProcess(workerCount, new TestConfiguration().managementApi());
  }

  /** A dispatcher with a management API under a supervisor. */
  public static DispatcherProcess supervised(int workerCount) throws IOException {
    return supervised(workerCount, ProgramCommand.FAST_START_FLAGS);
  }

  /** The same with a configuration of the test. */
  public static DispatcherProcess supervised(int workerCount, TestConfiguration configuration)
      throws IOException {
    return new DispatcherProcess(
        workerCount,
        configuration.copy().managementApi(),
        Listener.SUPERVISED,
        ProgramCommand.FAST_START_FLAGS);
  }

  /** The same with the JVM flags of {@code deploy/balancer.toml}. */
  public static DispatcherProcess deployed(int workerCount) throws IOException {
    return supervised(workerCount, ProgramCommand.deployedFlags());
  }

  private static DispatcherProcess supervised(int workerCount, List<String> flags)
      throws IOException {
    TestConfiguration configuration = new TestConfiguration().managementApi();
    return new DispatcherProcess(workerCount, configuration, Listener.SUPERVISED, flags);
  }

  /** The process that the test has started: the dispatcher, or its supervisor. */
  public Process process() {
    return process;
  }

  /** Where the dispatcher stores its files; it is deleted with them. */
  public Path temporaryDirectory() {
    return temporaryDirectory;
  }

  /** A dispatcher that the supervisor has started. */
  public ProcessHandle instance(int index) {
    return instances.get(index);
  }

  /** The dispatchers that the supervisor has started; empty without a supervisor. */
  public List<ProcessHandle> instances() {
    return Collections.unmodifiableList(instances);
  }

  /** The port of the management API of a dispatcher. */
  public int managementPort(int instance) {
    return managementPorts.get(instance);
  }

  private void startInstance() throws IOException {
    process.outputWriter().append('\n').flush();
    long pid = Long.parseLong(process.inputReader().readLine());
    instances.add(ProcessHandle.of(pid).orElseThrow());
  }

  /** Has the supervisor start one more dispatcher, and waits until it is ready. */
  public void startSuccessor() throws IOException {
    startInstance();
    managementPorts.add(awaitLoggedPort("admin server listening address"));
    awaitLog(FIRST_LIST_LOGGED);
    assertEquals(200, callManagement(instances.size() - 1, "GET", "readiness", "").status());
  }

  /** Waits until a dispatcher reports itself as ready to operators. */
  public void awaitReadiness(int instance) throws IOException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HttpIo.TIMEOUT_MILLIS);
    while (callManagement(instance, "GET", "readiness", "").status() != 200) {
      assertTrue(System.nanoTime() < deadline, "dispatcher " + instance + " is not ready");
    }
  }

  /** Kills a dispatcher under the supervisor, and waits for its end. */
  public void killInstance(int instance) throws Exception {
    instances.get(instance).destroyForcibly();
    awaitExit(instance);
  }

  /** Waits for the end of a dispatcher under the supervisor. */
  public void awaitExit(int instance) throws Exception {
    instances.get(instance).onExit().get(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Sends a request to the management API of a dispatcher; {@code path} follows {@code /ops/}. */
  public HttpMessage callManagement(int instance, String method, String path, String body)
      throws IOException {
    try (Socket connection = HttpIo.connect(managementPorts.get(instance))) {
      String head = method + " /ops/" + path + " HTTP/1.1\r\nHost: x\r\n";
      HttpIo.write(connection, HttpIo.withBody(head, body));
      return HttpIo.read(connection);
    }
  }

  /** Disables a worker through the management API of a dispatcher; the status of the response. */
  public int disableWorker(int instance, String worker) throws IOException {
    return callManagement(instance, "POST", "copy-workers/down", worker).status();
  }

  /** Enables a worker through the management API of a dispatcher; the status of the response. */
  public int enableWorker(int instance, String worker) throws IOException {
    return callManagement(instance, "POST", "copy-workers/up", worker).status();
  }

  /** Starts a client drain through the management API; the status of the response. */
  public int startClientDrain(int instance) throws IOException {
    return callManagement(instance, "POST", "drain/start", "").status();
  }

  /** Stops a client drain through the management API; the status of the response. */
  public int stopClientDrain(int instance) throws IOException {
    return callManagement(instance, "POST", "drain/stop", "").status();
  }

  /**
   * A number in the statistics of a dispatcher: {@code name}, or {@code name.class} for one of a
   * request class.
   */
  public int statistic(int instance, String name) throws IOException {
    String statistics = callManagement(instance, "GET", "stats", "").body();
    String pattern = "\"" + name.replace(".", "\":\\{[^}]*\"") + "\":(\\d+)";
    Matcher number = Pattern.compile(pattern).matcher(statistics);
    assertTrue(number.find(), name + " in " + statistics);
    return Integer.parseInt(number.group(1));
  }

  /** Waits until a number in the statistics of a dispatcher has this value. */
  public void awaitStatistic(int instance, String name, int value) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HttpIo.TIMEOUT_MILLIS);
    int current = statistic(instance, name);
    while (current != value) {
      assertTrue(System.nanoTime() < deadline, name + " is " + current + ", expected " + value);
      Thread.sleep(1);
      current = statistic(instance, name);
    }
  }

  /** Replaces discovery, and has the dispatcher reload; the previous discovery. */
  public StubHttpServer moveDiscovery() throws Exception {
    StubHttpServer previous = discovery();
    restartDiscovery(0);
    reload(configuration.discoveryAddress(discovery().address()).toJson());
    return previous;
  }

  /** A copy of the configuration with which the dispatcher was started. */
  public TestConfiguration configuration() {
    return configuration.copy();
  }

  /** Replaces the text of the configuration file, and has the dispatcher read it. */
  public void reload(String text) throws Exception {
    writeConfiguration(text);
    signal("HUP");
  }

  private void writeConfiguration(String text) throws IOException {
    Files.writeString(configurationFile, text);
  }

  /** Sends a signal, by its name without SIG, to the process that the test has started. */
  public void signal(String name) throws Exception {
    String command = "kill -" + name + " " + process.pid();
    assertEquals(0, new ProcessBuilder("sh", "-c", command).start().waitFor());
  }

  /** Reads the log until a line contains this text; that line. */
  public String awaitLog(String text) throws IOException {
    StringBuilder skipped = new StringBuilder();
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(text)) {
        return line;
      }
      skipped.append(line).append('\n');
    }
    throw new AssertionError("never logged: " + text + "\n" + skipped);
  }

  private int awaitLoggedPort(String text) throws IOException {
    Matcher logged = Pattern.compile(text + "[ =]/127.0.0.1:(\\d+)").matcher(awaitLog(text));
    assertTrue(logged.find());
    return Integer.parseInt(logged.group(1));
  }

  @Override
  public int port() {
    return port;
  }

  @Override
  public void close() throws IOException {
    if (instances.isEmpty()) {
      process.destroyForcibly();
    } else {
      process.outputWriter().close();
    }
    process.onExit().join();
    try (Stream<Path> files = Files.list(temporaryDirectory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(temporaryDirectory);
    Files.delete(configurationFile);
    super.close();
  }
}
