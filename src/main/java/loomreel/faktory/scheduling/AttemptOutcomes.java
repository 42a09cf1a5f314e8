package loomreel.faktory.scheduling;

import loomreel.core.UnavailableStatus;
import loomreel.faktory.queue.ConcurrencyLimiter;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.JobQueue;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/** Applies the end of an attempt to its job, and to the concurrency limit of the job's queue. */
public final class AttemptOutcomes {
  private final EventLoop loop;
  private final JobQueue queue;
  private final ConcurrencyLimiter limiter;
  private final JobClasses classes;
  private final RateLimitedLogger log;

  /** Outcomes for all attempts; the log gets rejected and dead jobs. */
  public AttemptOutcomes(
      EventLoop loop,
      JobQueue queue,
      ConcurrencyLimiter limiter,
      JobClasses classes,
      RateLimitedLogger log) {
    this.loop = loop;
    this.queue = queue;
    this.limiter = limiter;
    this.classes = classes;
    this.log = log;
  }

  /** The job is done. */
  void served(Job job, byte[] result) {
    limiter.recordServed(job.spec().queue());
    queue.completeAttempt(job, result, loop.now());
  }

  /** Nothing ran: the job is retried soon, which uses up none of its retries. */
  void rejected(Job job, UnavailableStatus status) {
    limiter.recordRejected(job.spec().queue(), loop.now());
    queue.rejectAttempt(job, status.reason(), loop.now());
    log.info("job rejected queue=" + job.spec().queue() + " reason=" + status.reason());
  }

  /**
   * The dispatcher has given up a job of which some attempt may have run. That is a failure, which
   * uses up a retry.
   *
   * @param awaitsWorker whether a worker that has the job has not reported its end, which is a sign
   *     of a lack of capacity
   */
  void givenUp(Job job, UnavailableStatus status, boolean awaitsWorker) {
    if (awaitsWorker) {
      limiter.recordRejected(job.spec().queue(), loop.now());
    } else {
      limiter.recordFailed(job.spec().queue());
    }
    log.info("job given up queue=" + job.spec().queue() + " reason=" + status.reason());
    fail(job, true);
  }

  /** The job is retried, or dead where it may have run and must not run twice. */
  void failed(Job job, boolean mayHaveRun) {
    limiter.recordFailed(job.spec().queue());
    fail(job, mayHaveRun);
  }

  private void fail(Job job, boolean mayHaveRun) {
    queue.failAttempt(job, mayHaveRun, classes.isIdempotent(job.spec().requestClass()), loop.now());
    if (job.state() == Job.State.DEAD) {
      log.warn(
          "job dead jid="
              + job.spec().jid()
              + " type="
              + job.spec().type()
              + " reason="
              + job.reason());
    }
  }
}
