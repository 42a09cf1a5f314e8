package loomreel.chaos;

import java.util.concurrent.TimeUnit;

/** Spreads a client's jobs evenly over a time that starts with the schedule. */
final class JobSchedule {
  private final long startNanos = System.nanoTime();
  private final long durationNanos;
  private final int jobs;

  JobSchedule(int jobs, int seconds) {
    this.jobs = jobs;
    durationNanos = TimeUnit.SECONDS.toNanos(seconds);
  }

  /** Waits until a job is due; one that is overdue is due at once. */
  void await(int job) throws InterruptedException {
    long dueNanos = startNanos + durationNanos * job / Math.max(1, jobs);
    long waitNanos = dueNanos - System.nanoTime();
    if (waitNanos > 0) {
      TimeUnit.NANOSECONDS.sleep(waitNanos);
    }
  }
}
