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
 * A dispatcher that runs as a separate process, started with the command {@code serve}. A test can
 * start it directly or with a supervisor, see {@link ListenerSupervisor}.
 *
 * <p>A supervisor can start several dispatcher processes one after the other. Each of these
 * processes is an instance. {@link #instances} returns the instances in the order of their start,
 * and the index in that list identifies an instance. {@link #process} returns the supervisor.
 *
 * <p>Without a supervisor, {@link #instances} is empty and {@link #process} returns the only
 * dispatcher. In the methods that call a management API, this dispatcher has index 0.
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

  /** Which process opens the socket on which the dispatcher accepts clients. */
  private enum Listener {
    /** The dispatcher opens the socket. */
    OWNED,
    /** A supervisor opens the socket, and each dispatcher inherits it. */
    SUPERVISED
  }

  /** Starts a dispatcher with the standard configuration and without a supervisor. */
  public DispatcherProcess(int workerCount) throws IOException {
    this(workerCount, new TestConfiguration());
  }

  /**
   * Starts a dispatcher without a supervisor and waits until the dispatcher listens for clients.
   *
   * <p>The configuration of the dispatcher contains an initial endpoint list. By default, stub
   * discovery confirms this list: it responds to the dispatcher's first call that the list is still
   * current. In this case, the constructor also waits until the dispatcher has logged that it
   * received this response. {@link TestConfiguration#isInitialListConfirmed} specifies when stub
   * discovery confirms the list.
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
    if (configuration.isInitialListConfirmed()) {
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
   * Starts a supervisor and a dispatcher. The dispatcher gets a copy of {@code configuration} and,
   * in addition, serves the management API.
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
   * Starts a supervisor and a dispatcher that serves the management API. The JVMs of both processes
   * get the flags that {@code deploy/balancer.toml} specifies.
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
   * Returns the process that the test started. This process is the supervisor if there is a
   * supervisor, and the dispatcher otherwise.
   */
  public Process process() {
    return process;
  }

  /**
   * Returns the directory in which the dispatcher processes store their files. {@link #close}
   * deletes these files and the directory.
   */
  public Path temporaryDirectory() {
    return temporaryDirectory;
  }

  /** Returns the instance with this index in {@link #instances}. */
  public ProcessHandle instance(int index) {
    return instances.get(index);
  }

  /**
   * Returns an unmodifiable view of the dispatchers that the supervisor started, ordered by their
   * start. The list includes dispatchers that have exited. It is empty if there is no supervisor.
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
   * Makes the supervisor start a further dispatcher, the successor. Waits until the successor has
   * logged that it received its first endpoint list. Then asserts that the readiness check of the
   * successor's management API returns status 200.
   */
  public void startSuccessor() throws IOException {
    startInstance();
    managementPorts.add(awaitLoggedPort("admin server listening address"));
    awaitLog(FIRST_LIST_MESSAGE);
    assertEquals(200, callManagement(instances.size() - 1, "GET", "readiness", "").status());
  }

  /**
   * Waits until the readiness check of an instance's management API returns status 200.
   *
   * @throws AssertionError after {@link HttpIo#TIMEOUT_MILLIS}
   */
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

  /**
   * Starts a client drain through an instance's management API. During a client drain, the
   * dispatcher closes the connections of clients, but not those of workers.
   *
   * @return the status code of the response
   */
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
   * @param name the name of the number. For the number of a single request class: the name, a dot
   *     and the name of the class.
   */
  public int statistic(int instance, String name) throws IOException {
    String statistics = callManagement(instance, "GET", "stats", "").body();
    // If the name contains a dot, the part before the dot is the name of a JSON object, and the
    // part after the dot is the name of a member of this object.
    String pattern = "\"" + name.replace(".", "\":\\{[^}]*\"") + "\":(\\d+)";
    Matcher matcher = Pattern.compile(pattern).matcher(statistics);
    assertTrue(matcher.find(), name + " in " + statistics);
    return Integer.parseInt(matcher.group(1));
  }

  /**
   * Waits until a number in the statistics of an instance is equal to {@code value}.
   *
   * @param name the name of the number, as for {@link #statistic}
   * @throws AssertionError after {@link HttpIo#TIMEOUT_MILLIS}
   */
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
   * Replaces stub discovery by a new stub at another address. Writes this address into the
   * configuration file and calls {@link #reload}. Does not wait until the dispatcher has reloaded
   * the file.
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
   * Returns a copy of the configuration with which the dispatcher was started. If {@link
   * #moveDiscovery} was called, the copy has the latest address of stub discovery. Text that a test
   * passes to {@link #reload} does not change what this method returns.
   */
  public TestConfiguration configuration() {
    return configuration.copy();
  }

  /**
   * Replaces the text of the configuration file and sends SIGHUP to {@link #process}. A dispatcher
   * that receives SIGHUP reloads the file. If there is a supervisor, the supervisor receives the
   * signal instead of a dispatcher.
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
   * Waits for a log line that contains this text. Reads the log from where the previous call
   * stopped, so that each line is read only once. There is no timeout.
   *
   * @return the line that contains the text
   * @throws AssertionError if the log ends before a line contains the text
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

  /**
   * Waits for a log line that contains this text, and returns the port in this line. The pattern
   * matches the text, a space or an equals sign, and an address in the form that Java prints:
   * {@code /127.0.0.1:PORT}.
   */
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
