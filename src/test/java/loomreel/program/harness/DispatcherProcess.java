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
 * A dispatcher that runs as a separate process, started with the command {@code serve}.
 *
 * <p>With a supervisor, several dispatcher processes can be started one after the other: {@link
 * #instances} returns them in this order, and {@link #process} returns the supervisor. An instance
 * is identified by its index in this list. Without a supervisor the list is empty, and the only
 * dispatcher has index 0 in the methods that call a management API.
 */
public final class DispatcherProcess extends DispatcherHarness {
  private static final String FIRST_LIST_MESSAGE = "first endpoint list received";

  private final Process process;
  private final Path temporaryDirectory = Files.createTempDirectory("loomreel");
  private final List<ProcessHandle> instances = new ArrayList<>();
  private final List<Integer> managementPorts = new ArrayList<>();
  private final Path configurationFile = Files.createTempFile("loomreel", ".json");
  private final TestConfiguration configuration;
  private final BufferedReader log;
  private final int port;

  /** The process that owns the listening socket for clients. */
  private enum Listener {
    /** The dispatcher itself. */
    OWNED,
    /** A supervisor, from which each dispatcher inherits the socket. */
    SUPERVISED
  }

  /** Starts a dispatcher with the standard configuration and without a supervisor. */
  public DispatcherProcess(int workerCount) throws IOException {
    this(workerCount, new TestConfiguration());
  }

  /**
   * Starts a dispatcher without a supervisor and waits until it listens for clients. If stub
   * discovery confirms the initial endpoint list, also waits until the dispatcher has logged the
   * receipt of its first list from discovery.
   */
  public DispatcherProcess(int workerCount, TestConfiguration configuration) throws IOException {
    this(workerCount, configuration, Listener.OWNED, ProgramCommand.FAST_START_FLAGS);
  }

  private DispatcherProcess(
      int workerCount, TestConfiguration requested, Listener listener, List<String> flags)
      throws IOException {
    super(workerCount);
    configuration = prepareConfiguration(requested);
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
      awaitLog(FIRST_LIST_MESSAGE);
    }
  }

  /** Starts a dispatcher that serves the management API, without a supervisor. */
  public static DispatcherProcess managed(int workerCount) throws IOException {
    return new DispatcherProcess(workerCount, new TestConfiguration().managementApi());
  }

  /** Starts a supervisor and a dispatcher that serves the management API. */
  public static DispatcherProcess supervised(int workerCount) throws IOException {
    return supervised(workerCount, ProgramCommand.FAST_START_FLAGS);
  }

  /**
   * Starts a supervisor and a dispatcher with a copy of this configuration to which the management
   * API is added.
   */
  public static DispatcherProcess supervised(int workerCount, TestConfiguration configuration)
      throws IOException {
    return new DispatcherProcess(
        workerCount,
        configuration.copy().managementApi(),
        Listener.SUPERVISED,
        ProgramCommand.FAST_START_FLAGS);
  }

  /**
   * Starts a supervisor and a dispatcher that serves the management API. Both JVMs get the flags
   * that {@code deploy/balancer.toml} specifies.
   */
  public static DispatcherProcess deployed(int workerCount) throws IOException {
    return supervised(workerCount, ProgramCommand.deployedFlags());
  }

  private static DispatcherProcess supervised(int workerCount, List<String> flags)
      throws IOException {
    TestConfiguration configuration = new TestConfiguration().managementApi();
    return new DispatcherProcess(workerCount, configuration, Listener.SUPERVISED, flags);
  }

  /**
   * Returns the process that the test started. It is the supervisor, or the dispatcher if there is
   * no supervisor.
   */
  public Process process() {
    return process;
  }

  /**
   * Returns the directory in which the dispatcher stores its files. {@link #close} deletes it with
   * these files.
   */
  public Path temporaryDirectory() {
    return temporaryDirectory;
  }

  /** Returns the dispatcher with this index among those that the supervisor started. */
  public ProcessHandle instance(int index) {
    return instances.get(index);
  }

  /**
   * Returns an unmodifiable view of the dispatchers that the supervisor started, ordered by start;
   * empty without a supervisor.
   */
  public List<ProcessHandle> instances() {
    return Collections.unmodifiableList(instances);
  }

  /** Returns the port on which an instance serves the management API. */
  public int managementPort(int instance) {
    return managementPorts.get(instance);
  }

  private void startInstance() throws IOException {
    process.outputWriter().append('\n').flush();
    long pid = Long.parseLong(process.inputReader().readLine());
    instances.add(ProcessHandle.of(pid).orElseThrow());
  }

  /**
   * Makes the supervisor start a further dispatcher, waits until this instance has logged its first
   * endpoint list, and asserts that its readiness check succeeds.
   */
  public void startSuccessor() throws IOException {
    startInstance();
    managementPorts.add(awaitLoggedPort("admin server listening address"));
    awaitLog(FIRST_LIST_MESSAGE);
    assertEquals(200, callManagement(instances.size() - 1, "GET", "readiness", "").status());
  }

  /** Waits until the readiness check of an instance's management API returns status 200. */
  public void awaitReadiness(int instance) throws IOException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HttpIo.TIMEOUT_MILLIS);
    while (callManagement(instance, "GET", "readiness", "").status() != 200) {
      assertTrue(System.nanoTime() < deadlineNanos, "dispatcher " + instance + " is not ready");
    }
  }

  /** Kills an instance that the supervisor started, and waits until it has exited. */
  public void killInstance(int instance) throws Exception {
    instances.get(instance).destroyForcibly();
    awaitExit(instance);
  }

  /**
   * Waits until an instance that the supervisor started has exited.
   *
   * @throws java.util.concurrent.TimeoutException after {@link HttpIo#TIMEOUT_MILLIS}
   */
  public void awaitExit(int instance) throws Exception {
    instances.get(instance).onExit().get(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a request to the management API of an instance and reads the response.
   *
   * @param path the path after {@code /ops/}
   */
  public HttpMessage callManagement(int instance, String method, String path, String body)
      throws IOException {
    try (Socket connection = HttpIo.connect(managementPorts.get(instance))) {
      String head = method + " /ops/" + path + " HTTP/1.1\r\nHost: x\r\n";
      HttpIo.write(connection, HttpIo.withBody(head, body));
      return HttpIo.read(connection);
    }
  }

  /** Disables a worker through an instance's management API, and returns the status code. */
  public int disableWorker(int instance, String worker) throws IOException {
    return callManagement(instance, "POST", "copy-workers/down", worker).status();
  }

  /** Enables a worker through an instance's management API, and returns the status code. */
  public int enableWorker(int instance, String worker) throws IOException {
    return callManagement(instance, "POST", "copy-workers/up", worker).status();
  }

  /** Starts a client drain through an instance's management API, and returns the status code. */
  public int startClientDrain(int instance) throws IOException {
    return callManagement(instance, "POST", "drain/start", "").status();
  }

  /** Stops a client drain through an instance's management API, and returns the status code. */
  public int stopClientDrain(int instance) throws IOException {
    return callManagement(instance, "POST", "drain/stop", "").status();
  }

  /**
   * Returns a number from the statistics of an instance's management API.
   *
   * @param name the name of the number, or {@code name.class} for the number of a request class
   */
  public int statistic(int instance, String name) throws IOException {
    String statistics = callManagement(instance, "GET", "stats", "").body();
    String pattern = "\"" + name.replace(".", "\":\\{[^}]*\"") + "\":(\\d+)";
    Matcher matcher = Pattern.compile(pattern).matcher(statistics);
    assertTrue(matcher.find(), name + " in " + statistics);
    return Integer.parseInt(matcher.group(1));
  }

  /** Waits until a number in the statistics of an instance is equal to {@code value}. */
  public void awaitStatistic(int instance, String name, int value) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HttpIo.TIMEOUT_MILLIS);
    int current = statistic(instance, name);
    while (current != value) {
      assertTrue(
          System.nanoTime() < deadlineNanos, name + " is " + current + ", expected " + value);
      Thread.sleep(1);
      current = statistic(instance, name);
    }
  }

  /**
   * Replaces stub discovery by a new stub, and makes the dispatcher reload a configuration with the
   * new address.
   *
   * @return the previous stub, which stays open
   */
  public StubHttpServer moveDiscovery() throws Exception {
    StubHttpServer previous = discovery();
    restartDiscovery(0);
    reload(configuration.discoveryAddress(discovery().address()).toJson());
    return previous;
  }

  /**
   * Returns a copy of the configuration with which the dispatcher was started. It has the address
   * of discovery that the last {@link #moveDiscovery} set. {@link #reload} has no effect on it.
   */
  public TestConfiguration configuration() {
    return configuration.copy();
  }

  /**
   * Replaces the text of the configuration file and sends SIGHUP, on which a dispatcher reloads the
   * file. With a supervisor, the supervisor receives the signal instead.
   */
  public void reload(String text) throws Exception {
    writeConfiguration(text);
    signal("HUP");
  }

  private void writeConfiguration(String text) throws IOException {
    Files.writeString(configurationFile, text);
  }

  /**
   * Sends a signal to {@link #process}.
   *
   * @param name the name of the signal without the prefix SIG
   */
  public void signal(String name) throws Exception {
    String command = "kill -" + name + " " + process.pid();
    assertEquals(0, new ProcessBuilder("sh", "-c", command).start().waitFor());
  }

  /**
   * Reads the log, from where the previous call stopped, up to the first line that contains this
   * text. There is no timeout.
   *
   * @return the line that contains the text
   * @throws AssertionError if the log ends without such a line
   */
  public String awaitLog(String text) throws IOException {
    StringBuilder skipped = new StringBuilder();
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(text)) {
        return line;
      }
      skipped.append(line).append('\n');
    }
    throw new AssertionError("not logged: " + text + "\n" + skipped);
  }

  private int awaitLoggedPort(String text) throws IOException {
    Matcher matcher = Pattern.compile(text + "[ =]/127.0.0.1:(\\d+)").matcher(awaitLog(text));
    assertTrue(matcher.find());
    return Integer.parseInt(matcher.group(1));
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
