package loomreel.faktory.queue;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import loomreel.faktory.queue.Job.State;

/**
 * The order of jobs that have not ended: by due time, by priority within a queue, and by deadline.
 * Owned by {@link JobQueue}; holds no state of its own beyond these indexes.
 */
final class PendingJobs {
  private static final Comparator<Job> BY_DUE_TIME =
      Comparator.<Job>comparingLong(job -> job.dueMicros)
          .thenComparingLong(job -> job.arrivalOrder);
  private static final Comparator<Job> BY_PRIORITY =
      Comparator.<Job>comparingInt(job -> -job.spec.priority())
          .thenComparingLong(job -> job.arrivalOrder);
  private static final Comparator<Job> BY_DEADLINE =
      Comparator.<Job>comparingLong(job -> job.spec.deadline())
          .thenComparingLong(job -> job.arrivalOrder);

  private final TreeSet<Job> scheduled = new TreeSet<>(BY_DUE_TIME);
  private final TreeSet<Job> retries = new TreeSet<>(BY_DUE_TIME);
  private final Map<String, TreeSet<Job>> readyByQueue = new TreeMap<>();

  /** Jobs with a deadline of their own, in any state that is not final. */
  private final TreeSet<Job> byDeadline = new TreeSet<>(BY_DEADLINE);

  /** Adds a job to the index of its state; an active or ended job is in none. */
  void add(Job job) {
    switch (job.state) {
      case SCHEDULED -> scheduled.add(job);
      case RETRY -> retries.add(job);
      case ENQUEUED ->
          readyByQueue
              .computeIfAbsent(job.spec.queue(), queue -> new TreeSet<>(BY_PRIORITY))
              .add(job);
      case ACTIVE, DONE, DEAD, EXPIRED, CANCELLED -> {}
    }
  }

  /** Removes a job from the index of its state, if it is there. */
  void remove(Job job) {
    if (job.state == State.SCHEDULED) {
      scheduled.remove(job);
    } else if (job.state == State.RETRY) {
      retries.remove(job);
    } else if (job.state == State.ENQUEUED) {
      removeReady(job);
    }
  }

  private void removeReady(Job job) {
    TreeSet<Job> queue = readyByQueue.get(job.spec.queue());
    if (queue == null) {
      return;
    }
    queue.remove(job);
    if (queue.isEmpty()) {
      readyByQueue.remove(job.spec.queue());
    }
  }

  /** Indexes the deadline of a job, if it has one. */
  void addDeadline(Job job) {
    if (job.spec.hasDeadline()) {
      byDeadline.add(job);
    }
  }

  /** Removes the deadline of a job. */
  void removeDeadline(Job job) {
    if (job.spec.hasDeadline()) {
      byDeadline.remove(job);
    }
  }

  /** Removes the deadlines of many jobs. */
  void removeDeadlines(Collection<Job> jobs) {
    byDeadline.removeAll(new HashSet<>(jobs));
  }

  /** Removes all deadlines. */
  void clearDeadlines() {
    byDeadline.clear();
  }

  /** Empties the indexes of all states; deadlines stay. */
  void clearStates() {
    scheduled.clear();
    retries.clear();
    readyByQueue.clear();
  }

  /** Whether the deadline of some job has passed. */
  boolean hasPassedDeadline(long now) {
    return !byDeadline.isEmpty() && byDeadline.first().spec.deadline() <= now;
  }

  /** Removes and returns the job with the earliest deadline; there must be one. */
  Job pollEarliestDeadline() {
    return byDeadline.pollFirst();
  }

  /** The scheduled jobs, the one that is due first first. */
  NavigableSet<Job> scheduled() {
    return scheduled;
  }

  /** The jobs that wait for a retry, the one that is due first first. */
  NavigableSet<Job> retries() {
    return retries;
  }

  /** The next due time or deadline; {@link Long#MAX_VALUE} for none. */
  long nextEventMicros() {
    long next = byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.first().spec.deadline();
    next = scheduled.isEmpty() ? next : Math.min(next, scheduled.first().dueMicros);
    return retries.isEmpty() ? next : Math.min(next, retries.first().dueMicros);
  }

  /** Whether a job may be attempted now. */
  boolean hasReady() {
    return !readyByQueue.isEmpty();
  }

  /** Names of the queues that hold jobs that may be attempted now, in the order of their names. */
  Set<String> readyQueues() {
    return readyByQueue.keySet();
  }

  /** The next job of a queue; there must be one. */
  Job firstReady(String queue) {
    return readyByQueue.get(queue).first();
  }

  /** How many jobs may be attempted now. */
  int readyCount() {
    return readyByQueue.values().stream().mapToInt(TreeSet::size).sum();
  }

  /** How many jobs of each queue may be attempted now. */
  Map<String, Integer> readyCounts() {
    Map<String, Integer> counts = new TreeMap<>();
    readyByQueue.forEach((queue, jobs) -> counts.put(queue, jobs.size()));
    return counts;
  }
}
