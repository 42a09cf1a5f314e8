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

  /** The job is retried, or dead where it may have run and must not run twice. */
  void failed(Job job, boolean mayHaveRun) {
    limiter.recordFailed(job.spec().queue());
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
