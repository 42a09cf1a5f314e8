package loomreel.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import loomreel.decision.Settings.Rules;

/**
 * A worker in a {@link FleetSimulation}. The worker runs as many jobs at the same time as it has
 * slots, and queues the other jobs. Dispatchers see the load reports of the worker but not its
 * state. The work of a job is its run time at a warm worker of speed 1, in microseconds.
 */
final class SimulatedWorker {
  /** The way in which a worker responds to attempts and health checks. */
  enum Mode {
    /** The worker runs jobs, and health checks succeed. */
    SERVING,
    /** The worker rejects jobs, and health checks fail. */
    REJECTING,
    /** No connection to the worker can be opened. */
    UNREACHABLE
  }

  final Endpoint endpoint;

  /** The times, in microseconds, at which health checks were sent to the worker. */
  final List<Long> healthCheckTimesMicros = new ArrayList<>();

  Mode mode = Mode.SERVING;

  /** The work that one slot does per microsecond while the worker is warm. */
  private final double speed;

  /** For each slot, the time, in microseconds, at which the last job of the slot ends. */
  private final long[] slotFreeAtMicros;

  /** The total work of the attempts that were sent at the same time, by time in microseconds. */
  private final TreeMap<Long, Double> workMicrosByTime = new TreeMap<>();

  /** The number of jobs that run or are queued. */
  private int activeJobs;

  SimulatedWorker(Endpoint endpoint, int slots, double speed) {
    this.endpoint = endpoint;
    this.speed = speed;
    slotFreeAtMicros = new long[slots];
  }

  /**
   * Returns the fraction of its full capacity that the worker has at {@code nowMicros}, from 0 to
   * 1. During the slow start, the fraction grows linearly to 1.
   */
  private double capacityFraction(long nowMicros, Rules rules) {
    double ageMicros = nowMicros - endpoint.startedAt();
    return endpoint.startedAt() == 0 || ageMicros > rules.slowStartDuration()
        ? 1
        : rules.initialCapacityFraction()
            + (1 - rules.initialCapacityFraction()) * ageMicros / rules.slowStartDuration();
  }

  /** Records an attempt that was sent to the worker, even if the worker does not run the job. */
  void recordAttempt(double workMicros, long nowMicros) {
    workMicrosByTime.merge(nowMicros, workMicros, Double::sum);
  }

  /**
   * Returns the work of the attempts that were sent to the worker from {@code fromMicros},
   * inclusive, to {@code toMicros}, exclusive.
   */
  double workSentMicros(long fromMicros, long toMicros) {
    return workMicrosByTime.subMap(fromMicros, toMicros).values().stream()
        .mapToDouble(workMicros -> workMicros)
        .sum();
  }

  /** Returns the number of different times at which attempts were sent to the worker. */
  int sendTimeCount() {
    return workMicrosByTime.size();
  }

  /**
   * Returns the work that all slots of the worker together can do between two times. The result is
   * exact only if the capacity changes linearly between these times.
   */
  double capacityMicros(long fromMicros, long toMicros, Rules rules) {
    return slotFreeAtMicros.length
        * speed
        * (toMicros - fromMicros)
        * (capacityFraction(fromMicros, rules) + capacityFraction(toMicros, rules))
        / 2;
  }

  /**
   * Assigns a job to the slot that becomes free first. The job starts as soon as that slot is free.
   *
   * @return the time at which the job ends, in microseconds
   */
  long startJob(double workMicros, long nowMicros, Rules rules) {
    int slot = 0;
    for (int i = 1; i < slotFreeAtMicros.length; i++) {
      slot = slotFreeAtMicros[i] < slotFreeAtMicros[slot] ? i : slot;
    }
    long startsAtMicros = Math.max(nowMicros, slotFreeAtMicros[slot]);
    slotFreeAtMicros[slot] =
        startsAtMicros + (long) (workMicros / speed / capacityFraction(startsAtMicros, rules));
    activeJobs++;
    return slotFreeAtMicros[slot];
  }

  /** Records the end of a job that {@link #startJob} assigned to a slot. */
  void endJob() {
    activeJobs--;
  }

  /**
   * Returns a load report with the current numbers of queued jobs, active jobs and free slots. The
   * active jobs include the queued jobs.
   */
  WorkerLoad loadReport() {
    int slots = slotFreeAtMicros.length;
    return DispatcherHarness.loadReport(
        Math.max(0, activeJobs - slots), activeJobs, Math.max(0, slots - activeJobs));
  }
}
