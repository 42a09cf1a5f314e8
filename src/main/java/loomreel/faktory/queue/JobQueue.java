package loomreel.faktory.queue;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import loomreel.faktory.queue.Job.State;

/**
 * The jobs of Faktory clients and their states: one final state for each jid, reached once.
 *
 * <p>Does no I/O and reads no clock; times are passed in, in microseconds of Unix time. Jobs that
 * are due are enqueued by due time and then by order of arrival. Not safe for use by several
 * threads.
 */
public final class JobQueue {
  /**
   * Bounds of the queue.
   *
   * @param maxJobs jobs that have not ended
   * @param maxBytes payload bytes of those, and likewise of the dead jobs
   * @param baseBackoffMicros delay before the first retry, see {@link RetryBackoff}
   * @param retentionMicros how long an ended job is known
   * @param maxRetained how many ended jobs are known
   */
  public record Limits(
      int maxJobs, long maxBytes, long baseBackoffMicros, long retentionMicros, int maxRetained) {}

  /** Receives every change, after it has been made. */
  public interface Listener {
    /**
     * Called when a job has entered the queue or changed its state.
     *
     * @param job the job; where its payload is null it has ended for good
     * @param from the state before, or null where the job is new
     */
    void stateChanged(Job job, State from);

    /** Called when a dead job is no longer kept. */
    void deadJobDropped(Job job);
  }

  /** Bound of a job's evidence: a worker that repeats itself must not fill the memory. */
  private static final int MAX_EVIDENCE_CHARS = 512;

  /** Reason of a cancelled job. */
  private static final String DISCARDED = "discarded";

  private final Limits limits;
  private final RetryBackoff backoff;
  private final JobTable table;
  private final PendingJobs pending;
  private final EndedJobs ended;
  private long nextArrivalOrder;
  private long pushedCount;
  private long failureCount;

  /**
   * Creates an empty queue.
   *
   * @param random source of the backoff's jitter, shared with the caller
   */
  public JobQueue(Limits limits, RandomGenerator random) {
    this.limits = limits;
    backoff = new RetryBackoff(limits.baseBackoffMicros(), random);
    table =
        new JobTable(
            new EndedJobs.Limits(
                limits.retentionMicros(), limits.maxRetained(), limits.maxBytes()));
    pending = table.pending();
    ended = table.ended();
  }

  /** Sets the listener that receives all changes from now on. */
  public void setListener(Listener listener) {
    table.setListener(listener);
  }

  /**
   * Adds a job.
   *
   * @return the protocol's error line where the job is rejected, or null where it is accepted
   */
  public String push(Job.Spec spec, byte[] payload, long now) {
    ended.forgetOld(now);
    String rejection = rejectionOf(spec, payload, now);
    if (rejection != null) {
      return rejection;
    }
    Job job = new Job(spec, payload, nextArrivalOrder++);
    table.addLive(job);
    pushedCount++;
    pending.watchDeadline(job);
    if (spec.at() > now) {
      job.dueMicros = spec.at();
      table.transition(job, State.SCHEDULED, "", now);
    } else {
      table.transition(job, State.ENQUEUED, "", now);
    }
    return null;
  }

  private String rejectionOf(Job.Spec spec, byte[] payload, long now) {
    if (table.isLive(spec.jid())) {
      return "NOTUNIQUE jid is in use";
    }
    if (ended.find(spec.jid()) != null) {
      return "NOTUNIQUE jid has ended lately";
    }
    if (table.liveCount() >= limits.maxJobs()) {
      return "ERR backlog is full: " + limits.maxJobs() + " jobs";
    }
    if (table.liveBytes() + payload.length > limits.maxBytes()) {
      return "ERR backlog is full: " + limits.maxBytes() + " bytes";
    }
    return spec.deadline() <= now ? "ERR its own deadline has passed" : null;
  }

  /** Enqueues jobs that are due, and expires those whose deadline has passed. */
  public void processDue(long now) {
    while (pending.hasPassedDeadline(now)) {
      Job job = pending.pollEarliestDeadline();
      // Of an active job, the end of its try decides.
      if (job.state != State.ACTIVE) {
        table.transition(job, State.EXPIRED, "its own deadline passed", now);
      }
    }
    enqueueDue(pending.scheduled(), now);
    enqueueDue(pending.retries(), now);
  }

  private void enqueueDue(NavigableSet<Job> jobs, long now) {
    while (!jobs.isEmpty() && jobs.first().dueMicros <= now) {
      Job job = jobs.first();
      table.transition(job, State.ENQUEUED, job.reason, now);
    }
  }

  /** When {@link #processDue} has something to do next; {@link Long#MAX_VALUE} for never. */
  public long nextDueMicros() {
    return pending.nextEventMicros();
  }

  /** The queues that hold jobs to be tried now. */
  public Iterable<String> readyQueues() {
    return pending.readyQueues();
  }

  /** Whether a job may be tried now. */
  public boolean hasReady() {
    return pending.hasReady();
  }

  /** Starts a try of the first job of a queue that has some ready. */
  public Job startNext(String queue, long now) {
    Job job = pending.firstReady(queue);
    table.transition(job, State.ACTIVE, job.reason, now);
    return job;
  }

  /** Ends an active job whose try was served. */
  public void completeTry(Job job, byte[] result, long now) {
    job.result = result;
    table.transition(job, State.DONE, "", now);
  }

  /**
   * Handles the rejection of a try, of which nothing ran. That is no failure and uses up no retry;
   * the job waits for capacity, longer each time, so that it does not block other jobs of its
   * queue.
   */
  public void rejectTry(Job job, String why, long now) {
    long nextTry = now + backoff.afterRejection(job.rejections++);
    if (nextTry >= job.spec.deadline()) {
      String reason = "refused: " + why + ", and its own deadline comes before the next try";
      table.transition(job, State.EXPIRED, reason, now);
    } else {
      job.dueMicros = nextTry;
      table.transition(job, State.RETRY, "refused: " + why, now);
    }
  }

  /** Enqueues an active job again whose try was withdrawn before any of it ran. */
  public void withdrawTry(Job job, long now) {
    table.transition(job, State.ENQUEUED, job.reason, now);
  }

  /**
   * Handles the failure of a try.
   *
   * @param mayHaveRun whether the try may have run
   * @param mayRepeat whether the job may run again although it may have run
   */
  public void failTry(Job job, boolean mayHaveRun, boolean mayRepeat, long now) {
    failureCount++;
    job.rejections = 0;
    job.mayHaveRun |= mayHaveRun;
    if (mayHaveRun && !mayRepeat) {
      table.transition(job, State.DEAD, "may have run", now);
    } else {
      retryOrEnd(job, mayHaveRun ? "failed" : "failed before it ran", now);
    }
  }

  private void retryOrEnd(Job job, String why, long now) {
    // Drawn before the decision: the sequence of random numbers must not depend on it.
    long nextTry = now + backoff.afterFailure(job.failures);
    job.failures++;
    boolean hasRetry = job.failures <= job.spec.retry();
    long deadline = job.spec.deadline();
    if (now >= deadline || (hasRetry && nextTry >= deadline)) {
      String reason = why + ", and its own deadline comes before the next try";
      table.transition(job, State.EXPIRED, reason, now);
    } else if (!hasRetry) {
      table.transition(job, State.DEAD, why + ", tries used up", now);
    } else {
      job.dueMicros = nextTry;
      table.transition(job, State.RETRY, why, now);
    }
  }

  /** The job with a jid, or null where it is not known or no longer. */
  public Job find(String jid) {
    return table.find(jid);
  }

  /** Adds to a job's evidence, up to a bound; its state and its result stay as they are. */
  public void addEvidence(Job job, String what) {
    if (job.evidence.length() < MAX_EVIDENCE_CHARS) {
      job.evidence += (job.evidence.isEmpty() ? "" : "; ") + what;
    }
  }

  /** The sets of jobs that the MUTATE command names. */
  public enum Target {
    SCHEDULED,
    RETRIES,
    DEAD
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
      table.transition(job, State.CANCELLED, DISCARDED, now);
    }
  }

  /** Moves a job that waits to the dead ones; an active or ended job stays as it is. */
  public void kill(Job job, long now) {
    if (isWaiting(job)) {
      table.transition(job, State.DEAD, "killed", now);
    }
  }

  private static boolean isWaiting(Job job) {
    return job.state != State.ACTIVE && !job.state.isFinal();
  }

  /**
   * Enqueues a scheduled, retrying or dead job now.
   *
   * @param mayRepeat whether it may run again although it may have run
   * @return whether it was enqueued; a dead job that may have run stays dead unless it may repeat
   */
  public boolean requeue(Job job, boolean mayRepeat, long now) {
    if (job.state == State.DEAD) {
      if (!canRevive(job, mayRepeat, now)) {
        return false;
      }
      ended.removeForRequeue(job);
      table.addLive(job);
      job.failures = 0;
      pending.watchDeadline(job);
    } else if (job.state != State.SCHEDULED && job.state != State.RETRY) {
      return false;
    }
    table.transition(job, State.ENQUEUED, "requeued", now);
    return true;
  }

  private boolean canRevive(Job dead, boolean mayRepeat, long now) {
    return (mayRepeat || !dead.mayHaveRun)
        && dead.payload != null
        && table.liveCount() < limits.maxJobs()
        && table.liveBytes() + dead.payloadBytes() <= limits.maxBytes()
        && dead.spec.deadline() > now;
  }

  /** Cancels all jobs that are not active, and drops the dead ones. */
  public void flush(long now) {
    table.flush(DISCARDED, now);
  }

  /**
   * Adds a job that an earlier process has stored. Nothing happens where its jid is known already.
   *
   * @param job one that has no state yet
   */
  public void restore(Job job, State state, String reason, long now) {
    if (find(job.spec.jid()) != null) {
      return;
    }
    nextArrivalOrder = Math.max(nextArrivalOrder, job.arrivalOrder + 1);
    table.addLive(job);
    if (state != State.DEAD) {
      pending.watchDeadline(job);
    }
    table.transition(job, state, reason, now);
  }

  /** Adds the jid of a job that ended in an earlier process, for the rest of its retention. */
  public void restoreEnded(String jid, State state, long endedAtMicros, long now) {
    if (!ended.isRetained(endedAtMicros, now) || find(jid) != null) {
      return;
    }
    Job job = new Job(Job.Spec.of(jid), null, nextArrivalOrder++);
    job.state = state;
    job.updatedAt = endedAtMicros;
    ended.addRestored(job);
  }

  /** How many jobs are in a state now; of the final states, only dead jobs are kept. */
  public int size(State state) {
    return table.size(state);
  }

  /** How many jobs have ended in a state since the start of the process. */
  public long ended(State state) {
    return table.endedCount(state);
  }

  /** How many jobs have been accepted since the start of the process. */
  public long pushed() {
    return pushedCount;
  }

  /** How many tries have failed since the start of the process. */
  public long failures() {
    return failureCount;
  }

  /** How many jobs have not ended. */
  public int liveCount() {
    return table.liveCount();
  }

  /** Payload bytes of the jobs that have not ended. */
  public long liveBytes() {
    return table.liveBytes();
  }

  /** How many jobs of each queue are to be tried now. */
  public Map<String, Integer> readyCounts() {
    return pending.readyCounts();
  }
}
