package loomreel.faktory.queue;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loomreel.faktory.queue.Job.State;

/**
 * All jobs that are known, and the one place where a job changes its state.
 *
 * <p>Owned by {@link JobQueue}, which decides what changes when. Keeps each job in the index that
 * its state calls for, counts, and notifies a listener. Times are microseconds of Unix time.
 */
final class JobTable {
  private final PendingJobs pending = new PendingJobs();
  private final EndedJobs ended;

  /** Jobs that have not ended, by jid. */
  private final Map<String, Job> liveJobs = new HashMap<>();

  /** How many jobs have ended in each state. */
  private final Map<State, Long> endedCounts = new EnumMap<>(State.class);

  /** How many jobs of each queue have not ended. */
  private final Map<String, Integer> liveByQueue = new HashMap<>();

  private long liveBytes;
  private final HeapUse liveHeap = new HeapUse();
  private JobListener listener = JobListener.NONE;

  /** Creates an empty table that retains ended jobs within limits. */
  JobTable(EndedJobs.Limits limits) {
    ended =
        new EndedJobs(
            limits, job -> listener.deadJobDropped(job), job -> listener.endedJobForgotten(job));
  }

  /** Sets the listener that receives all changes from now on. */
  void setListener(JobListener newListener) {
    listener = newListener;
  }

  /** The indexes of jobs that have not ended. */
  PendingJobs pending() {
    return pending;
  }

  /** The jobs that have ended. */
  EndedJobs ended() {
    return ended;
  }

  /** Whether the jid belongs to a job that has not ended. */
  boolean isLive(String jid) {
    return liveJobs.containsKey(jid);
  }

  /** The job with a jid, or null where it is not known or no longer. */
  Job find(String jid) {
    Job job = liveJobs.get(jid);
    return job == null ? ended.find(jid) : job;
  }

  /** Adds a job that has not ended; a {@link #transition} has to follow. */
  void addLive(Job job) {
    liveJobs.put(job.spec.jid(), job);
    liveByQueue.merge(job.spec.queue(), 1, Integer::sum);
    liveBytes += job.payloadBytes();
    liveHeap.add(job);
  }

  /** Counts the heap of a job again whose texts have changed. */
  void textsChanged(Job job) {
    if (isLive(job.spec.jid())) {
      liveHeap.update(job);
    } else {
      ended.textsChanged(job);
    }
  }

  /**
   * Moves a job to another state; every change of state goes through here.
   *
   * @throws IllegalStateException if {@link State#canBecome} does not allow the transition
   */
  void transition(Job job, State to, String reason, long now) {
    State from = job.state;
    if (from != null && !from.canBecome(to)) {
      throw new IllegalStateException(
          "job " + job.spec.jid() + " is " + from + " and cannot become " + to);
    }
    pending.remove(job);
    job.state = to;
    job.reason = reason;
    job.updatedAt = now;
    if (to.isFinal()) {
      finish(job);
    } else {
      pending.add(job);
    }
    listener.stateChanged(job, from);
    if (to.isFinal()) {
      ended.removeExcess(now);
    }
  }

  private void finish(Job job) {
    liveJobs.remove(job.spec.jid());
    pending.removeDeadline(job);
    liveByQueue.computeIfPresent(
        job.spec.queue(), (queue, jobs) -> jobs == 1 ? null : Integer.valueOf(jobs - 1));
    liveBytes -= job.payloadBytes();
    liveHeap.remove(job);
    endedCounts.merge(job.state, 1L, Long::sum);
    ended.add(job);
  }

  /**
   * Cancels all jobs that are not active, and drops the dead ones. The indexes are emptied first in
   * one step each: removing the jobs one by one is slow for a long backlog.
   */
  void flush(String reason, long now) {
    List<Job> cancelled =
        liveJobs.values().stream().filter(job -> job.state != State.ACTIVE).toList();
    pending.clearStates();
    if (cancelled.size() == liveJobs.size()) {
      pending.clearDeadlines();
    } else {
      pending.removeDeadlines(cancelled);
    }
    for (Job job : cancelled) {
      transition(job, State.CANCELLED, reason, now);
    }
    ended.discardAllDead();
  }

  /** How many jobs are in a state now; of the final states, only dead jobs are retained. */
  int size(State state) {
    return switch (state) {
      case SCHEDULED -> pending.scheduled().size();
      case RETRY -> pending.retries().size();
      case ENQUEUED -> pending.readyCount();
      case DEAD -> ended.deadCount();
      case ACTIVE ->
          liveJobs.size() - size(State.SCHEDULED) - size(State.RETRY) - size(State.ENQUEUED);
      case DONE, EXPIRED, CANCELLED -> 0;
    };
  }

  /** How many jobs have ended in a state since the start of the process. */
  long endedCount(State state) {
    return endedCounts.getOrDefault(state, 0L);
  }

  /** How many jobs have not ended. */
  int liveCount() {
    return liveJobs.size();
  }

  /** Whether some job of a queue has not ended. */
  boolean hasLiveJobs(String queue) {
    return liveByQueue.containsKey(queue);
  }

  /** How many queues have jobs that have not ended. */
  int liveQueueCount() {
    return liveByQueue.size();
  }

  /** The heap that the jobs occupy which have not ended, in bytes. */
  long liveHeapBytes() {
    return liveHeap.bytes();
  }

  /** Payload bytes of the jobs that have not ended. */
  long liveBytes() {
    return liveBytes;
  }
}
