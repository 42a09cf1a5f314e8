package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What all cases share: the record, the temporary folder, the programs that a case starts, and the
 * exit status. All addresses are loopback addresses.
 */
final class Kit {
  static final ObjectMapper JSON = new ObjectMapper();
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** A case is ended after this time, whatever it does. */
  private static final long LIMIT_MS = 115_000;

  /** What a case does. */
  interface Case {
    /** Returns whether the rule was broken. */
    boolean isRuleBroken(Kit kit) throws Exception;
  }

  final Path temp;
  private final PrintWriter record;
  private final long started = System.nanoTime();
  private final List<Process> processes = new ArrayList<>();

  private Kit() throws IOException {
    temp = Files.createTempDirectory("loomreel-review-");
    record =
        new PrintWriter(
            Files.newBufferedWriter(Path.of(System.getProperty("case"), "record.txt")), true);
  }

  /** Runs a case and ends this process with the exit status of the case. */
  static void run(Case theCase) throws IOException {
    Kit kit = new Kit();
    Runtime.getRuntime().addShutdownHook(new Thread(kit::cleanUp));
    Thread limit =
        new Thread(
            () -> {
              pause(LIMIT_MS);
              kit.note("could not run: the case took too long");
              Runtime.getRuntime().exit(COULD_NOT_RUN);
            });
    limit.setDaemon(true);
    limit.start();
    kit.note("start, TROUBLE=" + (hasTrouble() ? 1 : 0));
    int status;
    try {
      status = theCase.isRuleBroken(kit) ? BROKEN : HELD;
      kit.note(status == BROKEN ? "RULE BROKEN" : "rule held");
    } catch (Throwable e) {
      kit.note("could not run: " + e);
      e.printStackTrace();
      status = COULD_NOT_RUN;
    }
    System.exit(status);
  }

  /** Whether the disruption takes place. */
  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  private synchronized void cleanUp() {
    for (Process process : processes) {
      process.descendants().forEach(ProcessHandle::destroyForcibly);
      process.destroyForcibly();
    }
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    try (Stream<Path> files = Files.walk(temp)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      note("temporary folder not deleted: " + e.getMessage());
    }
    record.flush();
  }

  /** Milliseconds since the start of the case. */
  long now() {
    return (System.nanoTime() - started) / 1_000_000;
  }

  /** Writes a line to the record and to standard output. */
  void note(String text) {
    String line = String.format(Locale.ROOT, "%8.3f %s", now() / 1000.0, text);
    synchronized (record) {
      record.println(line);
    }
    System.out.println(line);
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A port that was free a moment ago. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** The command {@code run} of the deploy file. */
  static String runCommand() throws IOException {
    Matcher line =
        Pattern.compile("(?m)^run = \"(.*?)\"")
            .matcher(Files.readString(Path.of("deploy", "balancer.toml")));
    if (!line.find()) {
      throw new IOException("deploy/balancer.toml has no run");
    }
    return line.group(1);
  }

  /** The command {@code run} of the deploy file with another command of the program. */
  static String runCommand(String command) throws IOException {
    return runCommand().replaceFirst(" serve$", " " + Matcher.quoteReplacement(command));
  }

  /** Starts a command from the root of the project; its output goes to a file. */
  synchronized Process start(String command, Map<String, String> environment, String log)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
    builder.environment().keySet().removeIf(name -> name.startsWith("BALANCER_"));
    builder.environment().putAll(environment);
    Path file = temp.resolve(log);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(file.toFile()));
    Process process = builder.start();
    processes.add(process);
    return process;
  }

  /** Counts a process that a case has started itself among those that are ended with the case. */
  synchronized void add(Process process) {
    processes.add(process);
  }

  /** Sends SIGTERM to a process that the case has started. */
  static void terminate(long pid) {
    ProcessHandle.of(pid).ifPresent(ProcessHandle::destroy);
  }

  /** Copies the last lines of a log to the record. */
  void noteLog(String log, int lines) throws IOException {
    Path file = temp.resolve(log);
    if (!Files.exists(file)) {
      return;
    }
    List<String> all = Files.readAllLines(file, StandardCharsets.ISO_8859_1);
    for (String line : all.subList(Math.max(0, all.size() - lines), all.size())) {
      note("  [" + log + "] " + line);
    }
  }

  /** A new id of a request. */
  static String newId() {
    return String.format("%016x", ThreadLocalRandom.current().nextLong());
  }

  /** An answer to an HTTP request. */
  record Answer(int status, String body) {}

  /** Sends a request on a new connection and awaits the answer. */
  static Answer http(int port, String method, String path, Map<String, String> headers, String body)
      throws IOException {
    return http(port, method, path, headers, body, 10_000);
  }

  /**
   * Sends a request on a new connection and awaits the answer for some time.
   *
   * @throws IOException if there is no whole answer
   */
  static Answer http(
      int port, String method, String path, Map<String, String> headers, String body, int timeoutMs)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(loopback(port), 3_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMs);
      byte[] content = body.getBytes(StandardCharsets.UTF_8);
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      head.append("Host: service.internal\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      head.append("Content-Length: " + content.length + "\r\n\r\n");
      OutputStream out = socket.getOutputStream();
      byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
      byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + content.length);
      System.arraycopy(content, 0, all, headBytes.length, content.length);
      out.write(all);
      out.flush();
      return readAnswer(socket.getInputStream());
    }
  }

  private static Answer readAnswer(InputStream in) throws IOException {
    String statusLine = readLine(in);
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("the answer ended early");
    }
    return new Answer(
        Integer.parseInt(statusLine.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("connection closed without an answer");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  /** Waits until a path answers 200. */
  static void awaitOk(int port, String path, long millis) throws IOException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      try {
        if (http(port, "GET", path, Map.of(), "", 1_000).status() == 200) {
          return;
        }
      } catch (IOException e) {
        // Not there yet.
      }
      pause(20);
    }
    throw new IOException("no answer 200 to " + path);
  }

  /** The reply of INFO or TRACK, a JSON object. */
  static JsonNode json(Object reply) throws IOException {
    return JSON.readTree(String.valueOf(reply));
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }
}
