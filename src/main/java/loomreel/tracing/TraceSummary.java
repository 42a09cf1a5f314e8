package loomreel.tracing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Aggregates the trace lines of a fleet: counts by second, counts by worker, and the jobs that were
 * not served in time. Lines may be added dispatcher by dispatcher; the lines of one dispatcher must
 * be added in order. A job is stored until it has ended; an unsuccessful job is stored permanently.
 * Used on one thread only.
 */
public final class TraceSummary {
  /**
   * The age, in microseconds, above which an open job counts as lost: the longest time that a
   * client waits (5 s), plus a margin.
   */
  private static final long LOST_AFTER_MICROS = 5_500_000;

  private static final long MICROS_PER_SECOND = 1_000_000;

  private final SortedMap<Long, Map<String, Integer>> countsBySecond = new TreeMap<>();
  private final SortedMap<String, Map<String, Integer>> countsByWorker = new TreeMap<>();
  private final Map<String, Map<String, OpenJob>> openJobsByNode = new HashMap<>();
  private final Map<String, Long> lastLineMicrosByNode = new HashMap<>();
  private final List<UnsuccessfulJob> unsuccessfulJobs = new ArrayList<>();
  private final double latencyObjectiveMicros;
  private final double stretch;

  /**
   * Creates an empty summary. A job counts as late if it was answered later than the latency
   * objective plus {@code stretch} times its expected work.
   *
   * @param latencyObjectiveMicros the latency objective, in microseconds
   * @param stretch the factor by which the expected work is multiplied
   */
  public TraceSummary(double latencyObjectiveMicros, double stretch) {
    this.latencyObjectiveMicros = latencyObjectiveMicros;
    this.stretch = stretch;
  }

  /** Adds a line. Lines of unknown kinds are ignored. */
  public void add(TraceLine line) {
    lastLineMicrosByNode.put(line.node(), line.unixMicros());
    switch (line.kind()) {
      case "start" -> dispatcherStarted(line);
      case "arrival" -> jobArrived(line);
      case "send" -> attemptStarted(line);
      case "end" -> attemptEnded(line);
      case "refuse" -> openJob(line).ifPresent(job -> end(line, job, rejection(line, job)));
      case "fail" -> openJob(line).ifPresent(job -> end(line, job, JobEnd.FAILED));
      case "withdrawn" -> openJob(line).ifPresent(job -> end(line, job, JobEnd.CANCELLED));
      case "probe" -> countForWorker(line, "probes", line.text("worker"));
      case "probed" -> healthChecked(line);
      case "handshake" -> countForWorker(line, "handshakes", line.text("peer"));
      case "listcall" -> count(line, "list calls");
      case "listlost" -> count(line, "list lost");
      default -> {}
    }
  }

  /**
   * Ends the input. Jobs that have been open for longer than any client waits, at the time of the
   * last line of their dispatcher, count as lost.
   */
  public void finish() {
    openJobsByNode.forEach(
        (node, jobs) -> {
          long lastLineMicros = lastLineMicrosByNode.get(node);
          jobs.values().stream()
              .filter(job -> job.ageMicrosAt(lastLineMicros) > LOST_AFTER_MICROS)
              .forEach(job -> reportLost(job, lastLineMicros));
          jobs.clear();
        });
  }

  /**
   * Returns an unmodifiable view of the counts by second of Unix time, in ascending order. The
   * inner maps have the counts of lines and of ends of jobs, by kind.
   */
  public SortedMap<Long, Map<String, Integer>> countsBySecond() {
    return Collections.unmodifiableSortedMap(countsBySecond);
  }

  /**
   * Returns an unmodifiable view of the counts by worker, in ascending order of the worker's id.
   * The inner maps have the counts of lines and of ends of jobs, by kind.
   */
  public SortedMap<String, Map<String, Integer>> countsByWorker() {
    return Collections.unmodifiableSortedMap(countsByWorker);
  }

  /** Returns the unsuccessful jobs with the given end, in descending order of their duration. */
  public List<UnsuccessfulJob> unsuccessfulJobs(JobEnd end) {
    return unsuccessfulJobs.stream()
        .filter(job -> job.end() == end)
        .sorted(Comparator.comparingLong(UnsuccessfulJob::durationMicros).reversed())
        .toList();
  }

  private void dispatcherStarted(TraceLine line) {
    // Jobs that are still open were lost when the previous process was killed.
    Map<String, OpenJob> jobs = openJobs(line);
    jobs.values().forEach(job -> reportLost(job, line.unixMicros()));
    jobs.clear();
    count(line, "starts");
  }

  private void jobArrived(TraceLine line) {
    double objective = latencyObjectiveMicros + stretch * line.number("work");
    openJobs(line).put(line.text("id"), new OpenJob(line, objective));
    count(line, "arrivals");
  }

  private void attemptStarted(TraceLine line) {
    String workerId = line.text("worker");
    countForWorker(line, "sends", workerId);
    openJob(line).ifPresent(job -> job.attemptStarted(workerId));
  }

  private void attemptEnded(TraceLine line) {
    String outcome = line.text("outcome");
    countForWorker(line, "end " + outcome, line.text("worker"));
    Optional<OpenJob> job = openJob(line);
    job.ifPresent(open -> open.attemptEnded(outcome));
    if ("OK".equals(outcome)) {
      job.ifPresent(open -> end(line, open, open.successAt(line.unixMicros())));
    }
  }

  private static JobEnd rejection(TraceLine line, OpenJob job) {
    return job.rejectionAt(line.unixMicros());
  }

  private void healthChecked(TraceLine line) {
    String outcome = line.text("outcome");
    if (!"OK".equals(outcome)) {
      countForWorker(line, "probe " + outcome, line.text("worker"));
    }
  }

  private void end(TraceLine line, OpenJob job, JobEnd end) {
    openJobs(line).remove(line.text("id"));
    Optional<String> reason = Optional.ofNullable(line.text("why")).map(JobEnd::words);
    reason.ifPresent(words -> count(line, "why " + words));
    if (end == JobEnd.LATE) {
      countForWorker(line, end.label(), job.lastWorkerId());
    } else {
      count(line, end.label());
    }
    if (end != JobEnd.SERVED) {
      unsuccessfulJobs.add(job.report(end, reason, line.unixMicros()));
    }
  }

  private void reportLost(OpenJob job, long unixMicros) {
    unsuccessfulJobs.add(job.report(JobEnd.LOST, Optional.empty(), unixMicros));
  }

  private Map<String, OpenJob> openJobs(TraceLine line) {
    return openJobsByNode.computeIfAbsent(line.node(), node -> new HashMap<>());
  }

  private Optional<OpenJob> openJob(TraceLine line) {
    return Optional.ofNullable(openJobs(line).get(line.text("id")));
  }

  private void count(TraceLine line, String counter) {
    increment(countsBySecond, line.unixMicros() / MICROS_PER_SECOND, counter);
  }

  /**
   * Increments a counter of the second and, if there is a worker, of the worker.
   *
   * @param workerId null if there is no worker
   */
  private void countForWorker(TraceLine line, String counter, String workerId) {
    count(line, counter);
    if (workerId != null) {
      increment(countsByWorker, workerId, counter);
    }
  }

  private static <K> void increment(Map<K, Map<String, Integer>> counts, K key, String counter) {
    counts.computeIfAbsent(key, k -> new TreeMap<>()).merge(counter, 1, Integer::sum);
  }
}
