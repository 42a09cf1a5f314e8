package loomreel.faktory.scheduling;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.JobQueue;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * The jobs of recent attempts by the attempt's id, so that a report that is late, repeated or of
 * another worker is recorded as evidence on the right job.
 */
public final class RecentAttempts {
  /** Bounds the memory; a worker that reports after so many further attempts is only logged. */
  private static final int MAX_ATTEMPTS = 100_000;

  /** The same for a small heap, as a fraction of it. */
  private static final double MAX_HEAP_FRACTION = 0.04;

  /** Estimate of the heap for one attempt. */
  private static final int BYTES_PER_ATTEMPT = 112;

  private static final long MICROS_PER_SECOND = 1_000_000;

  private final EventLoop loop;
  private final JobQueue queue;
  private final RateLimitedLogger log;
  private final int maxAttempts;

  /** In order of their start, so that the oldest is removed first. */
  private final Map<String, Job> jobs =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Job> eldest) {
          return size() > maxAttempts;
        }
      };

  /**
   * Creates an empty record.
   *
   * @param log gets reports on attempts that are not in the record
   * @param heapBytes the size of the heap
   */
  public RecentAttempts(EventLoop loop, JobQueue queue, RateLimitedLogger log, long heapBytes) {
    maxAttempts = (int) Math.min(MAX_ATTEMPTS, heapBytes * MAX_HEAP_FRACTION / BYTES_PER_ATTEMPT);
    this.loop = loop;
    this.queue = queue;
    this.log = log;
  }

  /** Records the job of an attempt that starts. */
  void add(String attemptId, Job job) {
    jobs.put(attemptId, job);
  }

  /** Whether an attempt of that id is recorded. */
  boolean contains(String attemptId) {
    return jobs.containsKey(attemptId);
  }

  /** The job that has a jid, or an attempt of that id: workers know jobs by their attempts. */
  public Optional<Job> findJob(String id) {
    Job job = queue.find(id);
    return Optional.ofNullable(job == null ? jobs.get(id) : job);
  }

  /** Records the progress of a job that a worker or client has reported. */
  public void recordProgress(Job job, String percent, String description) {
    queue.setProgress(job, percent, description);
  }

  /**
   * Records a report of a worker that does not change an attempt's end, as evidence on its job.
   *
   * @param id the attempt's id as the worker gave it
   * @param report the text of the report
   */
  public void recordEvidence(String id, String report) {
    Job job = jobs.get(id);
    if (job != null) {
      queue.addEvidence(
          job,
          Instant.ofEpochSecond(loop.now() / MICROS_PER_SECOND) + " try " + id + ": " + report);
    } else {
      log.info("report on an unknown attempt id=" + id + " report=" + report);
    }
  }
}
