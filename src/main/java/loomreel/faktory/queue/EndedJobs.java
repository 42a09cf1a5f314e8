package loomreel.faktory.queue;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.function.Consumer;
import loomreel.faktory.queue.Job.State;

/**
 * Jobs that have ended: all of them for a while, so that their jids are not accepted again, and the
 * dead ones with their payloads, for operators to inspect and requeue. Owned by {@link JobQueue}.
 */
final class EndedJobs {
  /**
   * Bounds of what is retained.
   *
   * @param retentionMicros how long an ended job is known
   * @param maxRetained how many ended jobs are known, and how many dead ones are retained
   * @param maxDeadBytes payload bytes of the dead jobs
   * @param maxHeapBytes the heap that all of them occupy; dead jobs may use half of it
   */
  record Limits(long retentionMicros, int maxRetained, long maxDeadBytes, long maxHeapBytes) {
    /** How many ended jobs can be known at most. */
    int maxKnown() {
      return (int) Math.min(maxRetained, maxHeapBytes / Job.ENDED_BYTES);
    }

    /** Whether so many dead jobs with payloads of so many bytes in all may be retained. */
    boolean admitDead(int jobs, long payloadBytes) {
      return jobs <= maxRetained
          && payloadBytes <= maxDeadBytes
          && payloadBytes + (long) jobs * Job.LIVE_BYTES <= maxHeapBytes / 2;
    }
  }

  private final Limits limits;
  private final Consumer<Job> deadJobDropped;
  private final Consumer<Job> jobForgotten;

  /** By jid, in the order in which they ended. */
  private final LinkedHashMap<String, Job> history = new LinkedHashMap<>();

  /** Jobs that are retained with their payload, by jid, in the order in which they ended. */
  private final LinkedHashMap<String, Job> dead = new LinkedHashMap<>();

  /** Jobs of {@link #history} whose result is retained, in the order in which they ended. */
  private final ArrayDeque<Job> withResult = new ArrayDeque<>();

  private final HeapUse heap = new HeapUse();
  private long deadBytes;

  /**
   * Creates an empty history.
   *
   * @param deadJobDropped called for each dead job whose payload is dropped
   * @param jobForgotten called for each job whose jid is no longer known
   */
  EndedJobs(Limits limits, Consumer<Job> deadJobDropped, Consumer<Job> jobForgotten) {
    this.limits = limits;
    this.deadJobDropped = deadJobDropped;
    this.jobForgotten = jobForgotten;
  }

  /**
   * Adds a job that has just ended; unless it is retained as dead, its payload is dropped. {@link
   * #removeExcess} has to follow.
   */
  void add(Job job) {
    if (isRetainedAsDead(job)) {
      dead.put(job.spec.jid(), job);
      deadBytes += job.payloadBytes();
    } else {
      job.payload = null;
    }
    if (job.result != null && job.result.length > 0) {
      withResult.add(job);
    }
    history.put(job.spec.jid(), job);
    heap.add(job);
  }

  /**
   * Removes what is beyond the limits: payloads of dead jobs, results, and jobs from the history.
   */
  void removeExcess(long now) {
    while (!limits.admitDead(dead.size(), deadBytes)) {
      dropDead(dead.values().iterator().next());
    }
    while (isHeapExceeded() && !withResult.isEmpty()) {
      Job oldest = withResult.poll();
      oldest.result = null;
      oldest.reason = StateReasons.RESULT_NOT_RETAINED;
      heap.update(oldest);
    }
    removeOutdated(now);
  }

  private boolean isHeapExceeded() {
    return heap.bytes() > limits.maxHeapBytes();
  }

  /** Counts the heap of a job again whose texts have changed, if it is known. */
  void textsChanged(Job job) {
    if (find(job.spec.jid()) == job) {
      heap.update(job);
    }
  }

  /** As in Faktory, a job without retries is not retained, unless it may have run. */
  private static boolean isRetainedAsDead(Job job) {
    return job.state == State.DEAD && (job.spec.retry() != 0 || job.mayHaveRun);
  }

  /** Adds a job that ended in an earlier process. */
  void addRestored(Job job) {
    history.put(job.spec.jid(), job);
    heap.add(job);
  }

  /** Whether a job that ended at a time is still within the retention. */
  boolean isRetained(long endedAtMicros, long now) {
    return now - endedAtMicros < limits.retentionMicros();
  }

  /** Removes jobs from the history that are beyond its limits; dead jobs stay in theirs. */
  void removeOutdated(long now) {
    while (!history.isEmpty()) {
      Job oldest = history.values().iterator().next();
      boolean isWithinLimits = history.size() <= limits.maxRetained() && !isHeapExceeded();
      if (isWithinLimits && isRetained(oldest.updatedAt, now)) {
        return;
      }
      history.remove(oldest.spec.jid());
      if (!dead.containsKey(oldest.spec.jid())) {
        forget(oldest);
      }
    }
  }

  private void forget(Job job) {
    heap.remove(job);
    if (withResult.peek() == job) {
      withResult.poll();
    }
    // Whoever still refers to the job does not hold its result.
    job.result = null;
    jobForgotten.accept(job);
  }

  /** Drops a dead job if it is retained; its jid stays known for a while. */
  void discard(Job job) {
    if (dead.containsKey(job.spec.jid())) {
      dropDead(job);
    }
  }

  /** Drops all dead jobs; their jids stay known for a while. */
  void discardAllDead() {
    List.copyOf(dead.values()).forEach(this::dropDead);
  }

  private void dropDead(Job job) {
    dead.remove(job.spec.jid());
    deadBytes -= job.payloadBytes();
    job.payload = null;
    deadJobDropped.accept(job);
    if (history.containsKey(job.spec.jid())) {
      heap.update(job);
    } else {
      forget(job);
    }
  }

  /** Removes a dead job so that it can run again. */
  void removeForRequeue(Job job) {
    dead.remove(job.spec.jid());
    deadBytes -= job.payloadBytes();
    history.remove(job.spec.jid());
    heap.remove(job);
  }

  /** The ended job with a jid, or null. */
  Job find(String jid) {
    Job job = history.get(jid);
    return job == null ? dead.get(jid) : job;
  }

  /** The dead jobs that are retained, in the order in which they ended. */
  Collection<Job> dead() {
    return Collections.unmodifiableCollection(dead.values());
  }

  /** How many dead jobs are retained. */
  int deadCount() {
    return dead.size();
  }
}
