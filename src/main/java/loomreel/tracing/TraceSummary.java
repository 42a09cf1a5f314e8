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
 * not served in time. The lines of one dispatcher must be added in the order in which they were
 * written. The lines of different dispatchers may be added one dispatcher after the other. The
 * summary stores each job until the job has ended, and stores unsuccessful jobs permanently. Used
 * on one thread only.
 */
public final class TraceSummary {
  /**
   * The maximum age, in microseconds, of an open job at the last line of its dispatcher. An open
   * job that is older than this at the last line counts as lost. The value is the longest time that
   * a client waits (5 s), plus a margin.
   */
  private static final long LOST_AFTER_MICROS = 5_500_000;

  private static final long MICROS_PER_SECOND = 1_000_000;

  private final SortedMap<Long, Map<String, Integer>> countsBySecond = new TreeMap<>();
  private final SortedMap<String, Map<String, Integer>> countsByWorker = new TreeMap<>();

  /** The open jobs. The outer key is the name of the dispatcher; the inner key is the job id. */
  private final Map<String, Map<String, OpenJob>> openJobsByDispatcher = new HashMap<>();

  /**
   * The time of the last line of each dispatcher, in microseconds of Unix time. The key is the name
   * of the dispatcher.
   */
  private final Map<String, Long> lastLineMicrosByDispatcher = new HashMap<>();

  private final List<UnsuccessfulJob> unsuccessfulJobs = new ArrayList<>();
  private final double baseLatencyObjectiveMicros;
  private final double stretch;

  /**
   * Creates an empty summary. The latency objective of a job is {@code baseLatencyObjectiveMicros}
   * plus {@code stretch} times the expected work of the job, in microseconds. If the time from the
   * arrival of a job to its successful answer exceeds this objective, the job counts as late.
   *
   * @param baseLatencyObjectiveMicros the latency objective of a job without expected work, in
   *     microseconds
   * @param stretch the factor by which the expected work of a job is multiplied
   */
  public TraceSummary(double baseLatencyObjectiveMicros, double stretch) {
    this.baseLatencyObjectiveMicros = baseLatencyObjectiveMicros;
    this.stretch = stretch;
  }

  /** Adds a line. Lines of unknown kinds are ignored. */
  public void add(TraceLine line) {
    lastLineMicrosByDispatcher.put(line.dispatcher(), line.unixMicros());
    switch (line.kind()) {
      case "start" -> dispatcherStarted(line);
      case "arrival" -> jobArrived(line);
      case "send" -> attemptStarted(line);
      case "end" -> attemptEnded(line);
      case "refuse" -> openJob(line).ifPresent(job -> end(line, job, rejection(line, job)));
      case "fail" -> openJob(line).ifPresent(job -> end(line, job, JobEnd.FAILED));
      case "withdrawn" -> openJob(line).ifPresent(job -> end(line, job, JobEnd.CANCELLED));
      case "probe" -> countBySecondAndWorker(line, "probes", line.text("worker"));
      case "probed" -> healthChecked(line);
      case "handshake" -> countBySecondAndWorker(line, "handshakes", line.text("peer"));
      case "listcall" -> count(line, "list calls");
      case "listlost" -> count(line, "list lost");
      default -> {}
    }
  }

  /**
   * Ends the input. If a job is still open and arrived more than {@link #LOST_AFTER_MICROS} before
   * the last line of its dispatcher, the job counts as lost. Other jobs that are still open are
   * ignored.
   */
  public void finish() {
    openJobsByDispatcher.forEach(
        (dispatcher, jobs) -> {
          long lastLineMicros = lastLineMicrosByDispatcher.get(dispatcher);
          jobs.values().stream()
              .filter(job -> job.ageMicrosAt(lastLineMicros) > LOST_AFTER_MICROS)
              .forEach(job -> reportLost(job, lastLineMicros));
          jobs.clear();
        });
  }

  /**
   * Returns an unmodifiable view of the counts by second of Unix time, in ascending order. The
   * outer key is the second. The inner key is a label, and the value is the number of events with
   * this label in the second. The labels are:
   *
   * <ul>
   *   <li>{@code starts}, {@code arrivals}, {@code sends}, {@code probes}, {@code handshakes},
   *       {@code list calls} and {@code list lost} for trace lines of these kinds
   *   <li>{@code end} and an outcome for attempts that have ended
   *   <li>{@code probe} and an outcome for health checks that have failed
   *   <li>{@link JobEnd#label} for jobs that have ended, except lost jobs
   *   <li>{@code why} and a reason for jobs that have ended, if the line that reports the end has a
   *       reason
   * </ul>
   */
  public SortedMap<Long, Map<String, Integer>> countsBySecond() {
    return Collections.unmodifiableSortedMap(countsBySecond);
  }

  /**
   * Returns an unmodifiable view of the counts by worker, in ascending order of the outer key. The
   * outer key is the id of a worker. The inner key is a label, and the value is the number of
   * events with this label at the worker. The labels are some of the labels of {@link
   * #countsBySecond}: {@code sends}, {@code probes}, {@code handshakes}, {@code end} and an
   * outcome, {@code probe} and an outcome, and the label of {@link JobEnd#LATE}. Other ends of jobs
   * are not counted by worker.
   *
   * <p>Handshakes are counted by the name of the peer. If a peer is not a worker, its name is an
   * outer key as well.
   */
  public SortedMap<String, Map<String, Integer>> countsByWorker() {
    return Collections.unmodifiableSortedMap(countsByWorker);
  }

  /** Returns the unsuccessful jobs that ended in the given way, in descending order of duration. */
  public List<UnsuccessfulJob> unsuccessfulJobs(JobEnd end) {
    return unsuccessfulJobs.stream()
        .filter(job -> job.end() == end)
        .sorted(Comparator.comparingLong(UnsuccessfulJob::durationMicros).reversed())
        .toList();
  }

  private void dispatcherStarted(TraceLine line) {
    // The dispatcher has written this line when its process started. Jobs that are still open were
    // lost when the previous process of this dispatcher was killed.
    Map<String, OpenJob> jobs = openJobs(line);
    jobs.values().forEach(job -> reportLost(job, line.unixMicros()));
    jobs.clear();
    count(line, "starts");
  }

  private void jobArrived(TraceLine line) {
    double jobObjectiveMicros = baseLatencyObjectiveMicros + stretch * line.number("work");
    openJobs(line).put(line.text("id"), new OpenJob(line, jobObjectiveMicros));
    count(line, "arrivals");
  }

  private void attemptStarted(TraceLine line) {
    String workerId = line.text("worker");
    countBySecondAndWorker(line, "sends", workerId);
    openJob(line).ifPresent(job -> job.attemptStarted(workerId));
  }

  private void attemptEnded(TraceLine line) {
    String outcome = line.text("outcome");
    countBySecondAndWorker(line, "end " + outcome, line.text("worker"));
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
      countBySecondAndWorker(line, "probe " + outcome, line.text("worker"));
    }
  }

  private void end(TraceLine line, OpenJob job, JobEnd end) {
    openJobs(line).remove(line.text("id"));
    Optional<String> reason = Optional.ofNullable(line.text("why")).map(JobEnd::words);
    reason.ifPresent(words -> count(line, "why " + words));
    if (end == JobEnd.LATE) {
      countBySecondAndWorker(line, end.label(), job.lastWorkerId());
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
    return openJobsByDispatcher.computeIfAbsent(line.dispatcher(), dispatcher -> new HashMap<>());
  }

  private Optional<OpenJob> openJob(TraceLine line) {
    return Optional.ofNullable(openJobs(line).get(line.text("id")));
  }

  private void count(TraceLine line, String counter) {
    increment(countsBySecond, line.unixMicros() / MICROS_PER_SECOND, counter);
  }

  /**
   * Increments a counter in {@link #countsBySecond}. If a worker is given, also increments the
   * counter of this worker in {@link #countsByWorker}.
   *
   * @param workerId the id of the worker, or the name of the peer of a handshake; null for none
   */
  private void countBySecondAndWorker(TraceLine line, String counter, String workerId) {
    count(line, counter);
    if (workerId != null) {
      increment(countsByWorker, workerId, counter);
    }
  }

  private static <K> void increment(Map<K, Map<String, Integer>> counts, K key, String counter) {
    counts.computeIfAbsent(key, k -> new TreeMap<>()).merge(counter, 1, Integer::sum);
  }
}
