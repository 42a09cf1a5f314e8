package loomreel.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import loomreel.tracing.TraceLine;
import loomreel.tracing.TraceSummary;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code trace-summary}: adds up the trace lines in the logs of a fleet. */
@Command(
    name = "trace-summary",
    aliases = "tally",
    description =
        "Adds up the logs of dispatchers that ran with `serve --trace`: sends, ends, probes, "
            + "handshakes, list calls and rejections by second and by worker, and the jobs that "
            + "were not served in time.")
final class TraceSummaryCommand implements Callable<Integer> {
  private static final double MICROS_PER_MILLI = 1000;

  @Parameters(
      paramLabel = "LOG",
      description = "files, or folders of *.log; a dispatcher is named after its file")
  private List<Path> logs = List.of();

  @Option(
      names = "--aim-ms",
      defaultValue = "200",
      description = "a job is late after this and its stretch: ${DEFAULT-VALUE}")
  private double latencyObjectiveMillis;

  @Option(
      names = "--stretch",
      defaultValue = "2",
      description = "times the expected work of the job: ${DEFAULT-VALUE}")
  private double stretch;

  @Option(
      names = "--workers",
      defaultValue = "12",
      description = "how many workers are shown, those with most late jobs first")
  private int maxWorkers;

  @Option(
      names = "--jobs",
      defaultValue = "5",
      description = "how many jobs are shown of each unsuccessful end")
  private int maxJobs;

  @Override
  public Integer call() throws IOException {
    List<Path> files = new ArrayList<>();
    for (Path log : logs) {
      if (Files.isDirectory(log)) {
        files.addAll(logFilesIn(log));
      } else if (Files.isReadable(log)) {
        files.add(log);
      } else {
        System.err.println("loomreel: " + log + " cannot be read");
        return ExitCodes.USAGE;
      }
    }
    if (files.isEmpty()) {
      System.err.println("loomreel: no log to add up");
      return ExitCodes.USAGE;
    }
    TraceSummary summary = new TraceSummary(latencyObjectiveMillis * MICROS_PER_MILLI, stretch);
    long lines = 0;
    for (Path file : files) {
      lines += addFile(file, summary);
    }
    summary.finish();
    new TraceSummaryPrinter(summary, maxWorkers, maxJobs).print(System.out);
    System.out.println(lines + " trace lines of " + files.size() + " dispatchers");
    return ExitCodes.OK;
  }

  private static List<Path> logFilesIn(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(file -> file.toString().endsWith(".log")).sorted().toList();
    }
  }

  /** Adds a log's trace lines to the summary; how many there were. */
  private static long addFile(Path file, TraceSummary summary) throws IOException {
    String node = file.getFileName().toString().replaceFirst("\\.log$", "");
    // Two processes may have written to one file at once: bytes that are no UTF-8 are replaced
    // instead of ending the reading.
    CharsetDecoder decoder =
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPLACE)
            .onUnmappableCharacter(CodingErrorAction.REPLACE);
    long lines = 0;
    try (BufferedReader reader =
        new BufferedReader(new InputStreamReader(Files.newInputStream(file), decoder))) {
      for (String text = reader.readLine(); text != null; text = reader.readLine()) {
        Optional<TraceLine> line = TraceLine.parse(node, text);
        if (line.isPresent()) {
          lines++;
          summary.add(line.get());
        }
      }
    }
    return lines;
  }
}
