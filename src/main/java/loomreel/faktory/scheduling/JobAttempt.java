package loomreel.faktory.scheduling;

import loomreel.core.Rpc;
import loomreel.core.UnavailableStatus;
import loomreel.faktory.queue.Job;
import loomreel.faktory.storage.JobPersistence;

/** One attempt to run a job: the caller of one {@link Rpc}. Owned by the {@link JobScheduler}. */
final class JobAttempt implements Rpc.Caller {
  private final Job job;
  private final JobScheduler scheduler;
  private final AttemptOutcomes outcomes;
  private final JobPersistence persistence;

  /** Null until the attempt is submitted to the dispatcher. */
  private Rpc rpc;

  private boolean isSent;

  JobAttempt(
      Job job, JobScheduler scheduler, AttemptOutcomes outcomes, JobPersistence persistence) {
    this.job = job;
    this.scheduler = scheduler;
    this.outcomes = outcomes;
    this.persistence = persistence;
  }

  /** The job that is attempted. */
  Job job() {
    return job;
  }

  /** Records that the attempt is submitted to the dispatcher. */
  void submitted(Rpc request) {
    rpc = request;
  }

  /** The request to the dispatcher, or null before it is submitted. */
  Rpc rpc() {
    return rpc;
  }

  /** Whether some of it may have reached a worker. */
  boolean isSent() {
    return isSent;
  }

  @Override
  public boolean attemptStarting() {
    boolean mayStart = persistence.recordAttempt(job);
    isSent |= mayStart;
    return mayStart;
  }

  @Override
  public void served(byte[] result) {
    scheduler.ended(this);
    outcomes.served(job, result);
    scheduler.wakeUp();
  }

  @Override
  public void rejected(UnavailableStatus status) {
    scheduler.ended(this);
    // An idempotent request is also rejected after attempts that ran: its client may repeat it.
    if (rpc.mayHaveRun()) {
      outcomes.givenUp(job, status, rpc.hasOpenAttempt());
    } else {
      outcomes.rejected(job, status);
    }
    scheduler.wakeUp();
  }

  @Override
  public void failed() {
    scheduler.ended(this);
    outcomes.failed(job, rpc.mayHaveRun());
    scheduler.wakeUp();
  }
}
