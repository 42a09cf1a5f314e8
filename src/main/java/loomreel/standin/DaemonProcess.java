package loomreel.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A running {@code loomreel daemon} on loopback, in a process of its own. With {@code
 * -Dloomreel.show=true} its log is copied to standard error. Closing it kills the process.
 */
public final class DaemonProcess implements AutoCloseable {
  private static final int TIMEOUT_SECONDS = 60;
  private static final Pattern PORT = Pattern.compile("/127.0.0.1:(\\d+)");

  private final Process process;
  private final BlockingQueue<String> log = new LinkedBlockingQueue<>();

  private final InetSocketAddress http;
  private final InetSocketAddress faktory;
  private final InetSocketAddress operators;

  /**
   * Starts the daemon and waits until it listens.
   *
   * @param file its settings, with addresses for HTTP, Faktory and operators
   * @param flags options of its JVM
   * @throws IOException if it ends instead
   */
  public DaemonProcess(Path file, String... flags) throws IOException {
    List<String> command =
        new ArrayList<>(List.of(ProcessHandle.current().info().command().orElse("java")));
    command.addAll(List.of(flags));
    command.addAll(
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            "loomreel.cli.Main",
            "daemon",
            file.toString()));
    process = new ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    BufferedReader lines = process.errorReader();
    boolean shown = Boolean.getBoolean("loomreel.show");
    Thread reader =
        new Thread(
            () -> {
              try {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                  log.add(line);
                  if (shown) {
                    System.err.println(line);
                  }
                }
              } catch (IOException e) {
                // The process was killed.
              }
            },
            "daemon's log");
    reader.setDaemon(true);
    reader.start();
    try {
      faktory = port("Faktory listener started");
      http = port("listening for clients");
      operators = port("admin server listening");
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  /** The address for HTTP clients and callbacks. */
  public InetSocketAddress http() {
    return http;
  }

  /** The address for Faktory's clients and workers. */
  public InetSocketAddress faktory() {
    return faktory;
  }

  /** The address of the admin server. */
  public InetSocketAddress operators() {
    return operators;
  }

  private InetSocketAddress port(String where) throws IOException {
    Matcher port = PORT.matcher(awaitLog(where));
    if (!port.find()) {
      throw new IOException("no port in the line: " + where);
    }
    return Loopback.address(Integer.parseInt(port.group(1)));
  }

  /**
   * Waits for the next line of the log that contains a text.
   *
   * @throws IOException if the daemon ends or stays silent; the message has the lines it wrote
   */
  public String awaitLog(String text) throws IOException {
    StringBuilder seen = new StringBuilder();
    try {
      for (int waited = 0; waited < TIMEOUT_SECONDS; ) {
        String line = log.poll(1, TimeUnit.SECONDS);
        if (line == null) {
          waited++;
          if (!process.isAlive() && log.isEmpty()) {
            break;
          }
        } else if (line.contains(text)) {
          return line;
        } else {
          seen.append(line).append('\n');
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    throw new IOException("the daemon never logged \"" + text + "\" but:\n" + seen);
  }

  /**
   * Sends SIGTERM. The signal goes through the process's handle, since {@link Process#destroy}
   * would close the log as well.
   */
  public void requestShutdown() {
    process.toHandle().destroy();
  }

  /** Sends SIGTERM and waits for the graceful shutdown to end; the process's exit code. */
  public int shutDown() throws InterruptedException {
    requestShutdown();
    if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly();
      throw new IllegalStateException("the daemon did not shut down");
    }
    return process.exitValue();
  }

  @Override
  public void close() {
    kill();
  }

  /** Kills the process and waits until it has ended. */
  public void kill() {
    process.destroyForcibly();
    process.onExit().join();
  }

  /** Writes settings to a temporary file, which is deleted when this JVM ends. */
  public static Path writeSettings(String text) throws IOException {
    Path file = Files.createTempFile("loomreel", ".cue");
    file.toFile().deleteOnExit();
    Files.writeString(file, text);
    return file;
  }
}
