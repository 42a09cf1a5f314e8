package loomreel.faktory.queue;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import loomreel.faktory.queue.Job.State;

/**
 * What operators may do to the jobs of a {@link JobQueue}, which creates it. Times are microseconds
 * of Unix time.
 */
public final class JobAdministration {
  /** The sets of jobs that the MUTATE command names. */
  public enum Target {
    SCHEDULED,
    RETRIES,
    DEAD
  }

  private final QueueLimits limits;
  private final JobTable table;
  private final PendingJobs pending;
  private final EndedJobs ended;

  JobAdministration(QueueLimits limits, JobTable table) {
    this.limits = limits;
    this.table = table;
    pending = table.pending();
    ended = table.ended();
  }

  /**
   * Selects jobs of a set.
   *
   * @return a copy, in the set's order
   */
  public List<Job> select(Target target, Predicate<Job> filter) {
    Collection<Job> jobs =
        switch (target) {
          case SCHEDULED -> pending.scheduled();
          case RETRIES -> pending.retries();
          case DEAD -> ended.dead();
        };
    return jobs.stream().filter(filter).toList();
  }

  /**
   * Cancels a job that waits, or drops a dead one, whose jid stays known for a while; an active or
   * otherwise ended job stays as it is.
   */
  public void discard(Job job, long now) {
    if (job.state == State.DEAD) {
      ended.discard(job);
    } else if (isWaiting(job)) {
      table.transition(job, State.CANCELLED, StateReasons.DISCARDED, now);
    }
  }

  /** Moves a job that waits to the dead ones; an active or ended job stays as it is. */
  public void kill(Job job, long now) {
    if (isWaiting(job)) {
      table.transition(job, State.DEAD, StateReasons.KILLED, now);
    }
  }

  private static boolean isWaiting(Job job) {
    return job.state != State.ACTIVE && !job.state.isFinal();
  }

  /**
   * Enqueues a scheduled, retrying or dead job now.
   *
   * @param isIdempotent whether it may run again although it may have run
   * @return whether it was enqueued; a dead job that may have run stays dead unless it may repeat
   */
  public boolean requeue(Job job, boolean isIdempotent, long now) {
    if (job.state == State.DEAD) {
      if (!canRevive(job, isIdempotent, now)) {
        return false;
      }
      ended.removeForRequeue(job);
      table.addLive(job);
      job.failures = 0;
      pending.addDeadline(job);
    } else if (job.state != State.SCHEDULED && job.state != State.RETRY) {
      return false;
    }
    table.transition(job, State.ENQUEUED, StateReasons.REQUEUED, now);
    return true;
  }

  private boolean canRevive(Job dead, boolean isIdempotent, long now) {
    return (isIdempotent || !dead.mayHaveRun)
        && dead.payload != null
        && limits.admitJob(table.liveCount())
        && limits.admitPayload(table.liveBytes(), dead.payloadBytes())
        && limits.admitHeap(table.liveHeapBytes(), dead.payloadBytes())
        && dead.spec.deadline() > now;
  }

  /** Cancels all jobs that are not active, and drops the dead ones. */
  public void flush(long now) {
    table.flush(StateReasons.DISCARDED, now);
  }
}
