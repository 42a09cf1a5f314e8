package loomreel.faktory.queue;

import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
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
  /** Bound of a job's evidence: a worker that repeats itself must not fill the memory. */
  private static final int MAX_EVIDENCE_CHARS = 512;

  private final QueueLimits limits;
  private final Set<String> namedQueues;
  private final JobRetryPolicy retryPolicy;
  private final JobTable table;
  private final PendingJobs pending;
  private final EndedJobs ended;
  private final JobAdministration administration;
  private long nextArrivalOrder;
  private long pushedCount;
  private long failureCount;

  /**
   * Creates an empty queue of jobs whose queues have no settings of their own.
   *
   * @param random source of the backoff's jitter, shared with the caller
   */
  public JobQueue(QueueLimits limits, RandomGenerator random) {
    this(limits, Set.of(), random);
  }

  /**
   * Creates an empty queue.
   *
   * @param namedQueues the queues that the settings name, which always accept jobs
   * @param random source of the backoff's jitter, shared with the caller
   */
  public JobQueue(QueueLimits limits, Set<String> namedQueues, RandomGenerator random) {
    this.limits = limits;
    this.namedQueues = Set.copyOf(namedQueues);
    retryPolicy = new JobRetryPolicy(limits.baseBackoffMicros(), random);
    table = new JobTable(limits.endedJobs());
    pending = table.pending();
    ended = table.ended();
    administration = new JobAdministration(limits, table);
  }

  /** Sets the listener that receives all changes from now on. */
  public void setListener(JobListener listener) {
    table.setListener(listener);
  }

  /** The bounds of this queue. */
  public QueueLimits limits() {
    return limits;
  }

  /** What operators may do to the jobs of this queue. */
  public JobAdministration administration() {
    return administration;
  }

  /**
   * Adds a job.
   *
   * @param payload as pushed; not copied
   * @return why the job is rejected; empty where it is accepted
   */
  public Optional<PushRejection> push(JobSpec spec, byte[] payload, long now) {
    ended.removeOutdated(now);
    Optional<PushRejection> rejection = rejectionOf(spec, payload, now);
    if (rejection.isPresent()) {
      return rejection;
    }
    Job job = new Job(spec, payload, nextArrivalOrder++);
    table.addLive(job);
    pushedCount++;
    pending.addDeadline(job);
    if (spec.at() > now) {
      job.dueMicros = spec.at();
      table.transition(job, State.SCHEDULED, StateReasons.NONE, now);
    } else {
      table.transition(job, State.ENQUEUED, StateReasons.NONE, now);
    }
    return Optional.empty();
  }

  private Optional<PushRejection> rejectionOf(JobSpec spec, byte[] payload, long now) {
    if (table.isLive(spec.jid())) {
      return Optional.of(PushRejection.JID_IN_USE);
    }
    if (ended.find(spec.jid()) != null) {
      return Optional.of(PushRejection.JID_ENDED);
    }
    if (!admitsQueue(spec.queue())) {
      return Optional.of(PushRejection.TOO_MANY_QUEUES);
    }
    if (!limits.admitJob(table.liveCount())) {
      return Optional.of(PushRejection.TOO_MANY_JOBS);
    }
    if (!limits.admitPayload(table.liveBytes(), payload.length)) {
      return Optional.of(PushRejection.TOO_MANY_BYTES);
    }
    if (!limits.admitHeap(table.liveHeapBytes(), payload.length)) {
      return Optional.of(PushRejection.NO_MEMORY);
    }
    return spec.deadline() <= now ? Optional.of(PushRejection.DEADLINE_PASSED) : Optional.empty();
  }

  private boolean admitsQueue(String queue) {
    return namedQueues.contains(queue)
        || table.hasLiveJobs(queue)
        || table.liveQueueCount() < QueueLimits.MAX_QUEUES;
  }

  /** Enqueues jobs that are due, and expires those whose deadline has passed. */
  public void processDue(long now) {
    while (pending.hasPassedDeadline(now)) {
      Job job = pending.pollEarliestDeadline();
      // Of an active job, the end of its attempt decides.
      if (job.state != State.ACTIVE) {
        table.transition(job, State.EXPIRED, StateReasons.DEADLINE_PASSED, now);
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

  /** The queues that hold jobs that may be attempted now. */
  public Set<String> readyQueues() {
    return pending.readyQueues();
  }

  /** Whether a job may be attempted now. */
  public boolean hasReady() {
    return pending.hasReady();
  }

  /** Starts an attempt of the first job of a queue that has some ready. */
  public Job startNext(String queue, long now) {
    Job job = pending.firstReady(queue);
    table.transition(job, State.ACTIVE, job.reason, now);
    return job;
  }

  /** Ends an active job whose attempt was served. A result that is too long is not retained. */
  public void completeAttempt(Job job, byte[] result, long now) {
    boolean isRetained = result.length <= limits.heap().maxResultBytes();
    job.result = isRetained ? result : null;
    String reason = isRetained ? StateReasons.NONE : StateReasons.RESULT_NOT_RETAINED;
    table.transition(job, State.DONE, reason, now);
  }

  /**
   * Handles the rejection of an attempt, of which nothing ran; it uses up no retry.
   *
   * @param why the reason, for people
   */
  public void rejectAttempt(Job job, String why, long now) {
    apply(retryPolicy.afterRejection(job, why, now), job, now);
  }

  /** Enqueues an active job again whose attempt was withdrawn before any of it ran. */
  public void withdrawAttempt(Job job, long now) {
    table.transition(job, State.ENQUEUED, job.reason, now);
  }

  /**
   * Handles the failure of an attempt.
   *
   * @param mayHaveRun whether the attempt may have run
   * @param isIdempotent whether the job may run again although it may have run
   */
  public void failAttempt(Job job, boolean mayHaveRun, boolean isIdempotent, long now) {
    failureCount++;
    apply(retryPolicy.afterFailure(job, mayHaveRun, isIdempotent, now), job, now);
  }

  private void apply(JobRetryPolicy.Decision decision, Job job, long now) {
    if (decision.state() == State.RETRY) {
      job.dueMicros = decision.dueMicros();
    }
    table.transition(job, decision.state(), decision.reason(), now);
  }

  /** The job with a jid, or null where it is not known or no longer. */
  public Job find(String jid) {
    return table.find(jid);
  }

  /** Adds to a job's evidence, up to a bound; its state and its result stay as they are. */
  public void addEvidence(Job job, String what) {
    if (job.evidence.length() < MAX_EVIDENCE_CHARS) {
      job.evidence += (job.evidence.isEmpty() ? "" : "; ") + what;
      table.textsChanged(job);
    }
  }

  /** Records the progress of a job that a worker or client has reported. */
  public void setProgress(Job job, String percent, String description) {
    job.setProgress(percent, description);
    table.textsChanged(job);
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
      pending.addDeadline(job);
    }
    table.transition(job, state, reason, now);
  }

  /**
   * Adds the jid of a job that ended in an earlier process, for the rest of its retention. Jobs
   * have to be added in the order in which they ended.
   *
   * @param mayHaveRun whether some attempt of the job may have run, where it is dead
   * @return the job; empty where its retention has passed or its jid is known already
   */
  public Optional<Job> restoreEnded(
      String jid, State state, boolean mayHaveRun, long endedAtMicros, long now) {
    if (!ended.isRetained(endedAtMicros, now) || find(jid) != null) {
      return Optional.empty();
    }
    Job job = new Job(JobSpec.of(jid), null, nextArrivalOrder++);
    job.state = state;
    job.mayHaveRun = mayHaveRun;
    job.updatedAt = endedAtMicros;
    ended.addRestored(job);
    ended.removeOutdated(now);
    return Optional.of(job);
  }

  /** How many jobs are in a state now; of the final states, only dead jobs are retained. */
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

  /** How many attempts have failed since the start of the process. */
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

  /** How many jobs of each queue may be attempted now. */
  public Map<String, Integer> readyCounts() {
    return pending.readyCounts();
  }
}
