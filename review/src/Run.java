import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One run of a case: its record, its temporary folder, and the processes that it starts. The
 * working directory is the folder of the case, review/N.
 *
 * <p>Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.
 */
final class Run {
  /** The check of a case; returns whether the rule held. */
  interface Case {
    boolean holds(Run run) throws Exception;
  }

  private static final int LIMIT_SECONDS = 110;
  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"");

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path temporary = Files.createTempDirectory("review");
  private final long startNanos = System.nanoTime();
  private final BufferedWriter record =
      Files.newBufferedWriter(Path.of("record.txt"), StandardCharsets.UTF_8);
  private final List<Program> programs = new ArrayList<>();

  private Run() throws IOException {}

  /** Runs a case and ends this JVM with the case's exit code. */
  static void main(Case test) {
    int code = 2;
    Run run = null;
    try {
      run = new Run();
      run.watch();
      run.log("trouble=" + run.trouble);
      boolean holds = test.holds(run);
      run.log(holds ? "RULE HELD" : "RULE BROKEN");
      code = holds ? 0 : 1;
    } catch (Throwable e) {
      e.printStackTrace();
      if (run != null) {
        run.log("COULD NOT RUN: " + e);
      }
    }
    if (run != null) {
      run.end();
    }
    Runtime.getRuntime().halt(code);
  }

  private void watch() {
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    Thread watchdog =
        new Thread(
            () -> {
              try {
                TimeUnit.SECONDS.sleep(LIMIT_SECONDS);
              } catch (InterruptedException e) {
                return;
              }
              log("COULD NOT RUN: out of time");
              end();
              Runtime.getRuntime().halt(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
  }

  private synchronized void end() {
    programs.forEach(Program::kill);
    try (Stream<Path> files = Files.walk(temporary)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      // A temporary folder that stays does no harm.
    }
  }

  /** Seconds since the start of the run. */
  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Writes a line to record.txt and to standard output. */
  synchronized void log(String what) {
    String line = String.format("%8.3f  %s", seconds(), what);
    System.out.println(line);
    try {
      record.write(line);
      record.newLine();
      record.flush();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The root of the project. */
  static Path root() {
    return Path.of("").toAbsolutePath().getParent().getParent();
  }

  /** The command `run` of deploy/balancer.toml, which ends in `serve`. */
  static String runCommand() throws IOException {
    Matcher line =
        RUN_LINE.matcher(Files.readString(root().resolve("deploy").resolve("balancer.toml")));
    if (!line.find() || !line.group(1).endsWith(" serve")) {
      throw new IOException("no command run that ends in serve");
    }
    return line.group(1);
  }

  /** The same command for a dispatcher of one settings file. */
  static String daemonCommand(Path settings) throws IOException {
    String run = runCommand();
    return run.substring(0, run.length() - "serve".length()) + "daemon " + settings;
  }

  /** Starts a program by a shell command from the root of the project. */
  Program start(
      String name, String command, Map<String, String> environment, boolean inheritsInput)
      throws IOException {
    Path output = temporary.resolve(name + "-" + programs.size() + ".log");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
    builder.directory(root().toFile());
    builder.environment().putAll(environment);
    builder.redirectErrorStream(true).redirectOutput(output.toFile());
    if (inheritsInput) {
      builder.redirectInput(ProcessBuilder.Redirect.INHERIT);
    }
    Program program = new Program(name, builder.start(), output);
    synchronized (this) {
      programs.add(program);
    }
    log("started " + name + " pid=" + program.process.pid());
    return program;
  }

  /** A process that this run has started. */
  final class Program {
    final String name;
    final Process process;
    private final Path output;

    Program(String name, Process process, Path output) {
      this.name = name;
      this.process = process;
      this.output = output;
    }

    boolean hasLogged(String text) {
      try {
        return Files.readString(output, StandardCharsets.ISO_8859_1).contains(text);
      } catch (IOException e) {
        return false;
      }
    }

    /** The lines that it has logged which contain a text. */
    List<String> logged(String text) throws IOException {
      try (Stream<String> lines = Files.lines(output, StandardCharsets.ISO_8859_1)) {
        return lines.filter(line -> line.contains(text)).toList();
      }
    }

    /** Sends SIGTERM and waits for the end. */
    void terminate(int withinSeconds) throws Exception {
      log("SIGTERM to " + name + " pid=" + process.pid());
      process.toHandle().destroy();
      if (!process.waitFor(withinSeconds, TimeUnit.SECONDS)) {
        throw new IllegalStateException(name + " does not end after SIGTERM");
      }
      log(name + " has ended, exit code " + process.exitValue());
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() {
      process.destroyForcibly();
      process.onExit().join();
    }
  }

  /** Waits until a condition holds. */
  static boolean await(double seconds, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        return false;
      }
      Thread.sleep(5);
    }
    return true;
  }

  /** Like {@link #await}, but without the condition the case cannot run. */
  static void require(double seconds, String what, BooleanSupplier condition)
      throws InterruptedException {
    if (!await(seconds, condition)) {
      throw new IllegalStateException("not within " + seconds + " s: " + what);
    }
  }
}
