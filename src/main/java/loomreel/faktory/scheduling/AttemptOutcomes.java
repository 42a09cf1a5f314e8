package loomreel.faktory.scheduling;

import loomreel.core.UnavailableStatus;
import loomreel.faktory.queue.Admission;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.JobQueue;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/** Applies the end of an attempt to its job, and to the window of the job's queue. */
public final class AttemptOutcomes {
  private final EventLoop loop;
  private final JobQueue queue;
  private final Admission admission;
  private final JobClasses classes;
  private final RateLimitedLogger log;

  /** Outcomes for all attempts; the log gets rejected and dead jobs. */
  public AttemptOutcomes(
      EventLoop loop,
      JobQueue queue,
      Admission admission,
      JobClasses classes,
      RateLimitedLogger log) {
    this.loop = loop;
    this.queue = queue;
    this.admission = admission;
    this.classes = classes;
    this.log = log;
  }

  /** The job is done. */
  void served(Job job, byte[] result) {
    admission.recordServed(job.spec.queue());
    queue.completeTry(job, result, loop.now());
  }

  /** Nothing ran: the job is retried soon, which uses up none of its retries. */
  void rejected(Job job, UnavailableStatus status) {
    admission.recordRejected(job.spec.queue(), loop.now());
    queue.rejectTry(job, status.reason(), loop.now());
    log.info("job rejected queue=" + job.spec.queue() + " reason=" + status.reason());
  }

  /** The job is retried, or dead where it may have run and must not run twice. */
  void failed(Job job, boolean mayHaveRun) {
    admission.recordFailed(job.spec.queue());
    queue.failTry(job, mayHaveRun, classes.mayRepeat(job.spec.requestClass()), loop.now());
    if (job.state == Job.State.DEAD) {
      log.warn(
          "job dead jid=" + job.spec.jid() + " type=" + job.spec.type() + " reason=" + job.reason);
    }
  }
}
