package loomreel.cli;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import loomreel.tracing.JobEnd;
import loomreel.tracing.TraceSummary;
import loomreel.tracing.UnsuccessfulJob;

/** Prints a {@link TraceSummary} as text. Seconds count from the first that has a line. */
final class TraceSummaryPrinter {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long MICROS_PER_MILLI = 1000;

  private final TraceSummary summary;
  private final int maxWorkers;
  private final int maxJobs;
  private final long firstSecond;

  /**
   * Creates a printer of a finished summary.
   *
   * @param maxWorkers how many workers are shown, those with most late jobs first
   * @param maxJobs how many jobs are shown of each unsuccessful end, the longest first
   */
  TraceSummaryPrinter(TraceSummary summary, int maxWorkers, int maxJobs) {
    this.summary = summary;
    this.maxWorkers = maxWorkers;
    this.maxJobs = maxJobs;
    firstSecond = summary.countsBySecond().isEmpty() ? 0 : summary.countsBySecond().firstKey();
  }

  void print(PrintStream out) {
    summary
        .countsBySecond()
        .forEach(
            (second, counts) ->
                out.println("second " + (second - firstSecond) + ": " + join(counts)));
    summary.countsByWorker().entrySet().stream()
        .sorted(Comparator.comparingInt(worker -> -worker.getValue().getOrDefault("late", 0)))
        .limit(maxWorkers)
        .forEach(
            worker -> out.println("worker " + worker.getKey() + ": " + join(worker.getValue())));
    for (JobEnd end : JobEnd.values()) {
      printJobs(out, end, summary.unsuccessfulJobs(end));
    }
  }

  private void printJobs(PrintStream out, JobEnd end, List<UnsuccessfulJob> jobs) {
    if (!jobs.isEmpty()) {
      out.println(jobs.size() + " " + end.label());
      jobs.stream().limit(maxJobs).forEach(job -> out.println("  " + describe(job)));
    }
  }

  private String describe(UnsuccessfulJob job) {
    StringBuilder text = new StringBuilder();
    text.append(job.id()).append(" at ").append(job.node());
    text.append(", second ").append(job.arrivedAtMicros() / MICROS_PER_SECOND - firstSecond);
    text.append(", ").append(job.durationMicros() / MICROS_PER_MILLI).append(" ms");
    text.append(", attempts ").append(job.attempts());
    job.lastAttempt()
        .ifPresent(
            last ->
                text.append(", last at ")
                    .append(last.workerId())
                    .append(" ended ")
                    .append(last.outcome()));
    job.reason().ifPresent(reason -> text.append(", because ").append(reason));
    return text.toString();
  }

  private static String join(Map<String, Integer> counts) {
    return counts.entrySet().stream()
        .map(count -> count.getKey() + " " + count.getValue())
        .collect(Collectors.joining(", "));
  }
}
