package loomreel.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import loomreel.decision.Settings.Rules;

/**
 * A worker of a {@link FleetSimulation}. Dispatchers see its load reports but not its state. It
 * runs as many jobs at once as it has slots, and queues the others. Work is stated as the run time
 * of a job at a warm worker of speed 1, in microseconds.
 */
final class SimulatedWorker {
  /** How the worker responds to attempts and health checks. */
  enum Mode {
    /** The worker runs jobs and answers health checks. */
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

  /** The work that one slot does per microsecond when the worker is warm. */
  private final double speed;

  /** For each slot, the time, in microseconds, at which all jobs assigned to it will have ended. */
  private final long[] slotFreeAtMicros;

  /** The work of the attempts sent to the worker, by the time at which they were sent. */
  private final TreeMap<Long, Double> workMicrosByTime = new TreeMap<>();

  /** The number of jobs that run or are queued. */
  private int activeJobs;

  SimulatedWorker(Endpoint endpoint, int slots, double speed) {
    this.endpoint = endpoint;
    this.speed = speed;
    slotFreeAtMicros = new long[slots];
  }

  /** Returns the fraction of its full capacity that the worker has at a time, from 0 to 1. */
  private double capacityFraction(long nowMicros, Rules rules) {
    double ageMicros = nowMicros - endpoint.startedAt();
    return endpoint.startedAt() == 0 || ageMicros > rules.slowStartDuration()
        ? 1
        : rules.initialCapacityFraction()
            + (1 - rules.initialCapacityFraction()) * ageMicros / rules.slowStartDuration();
  }

  /** Records an attempt that was sent to the worker, whether or not the worker runs it. */
  void recordAttempt(double workMicros, long nowMicros) {
    workMicrosByTime.merge(nowMicros, workMicros, Double::sum);
  }

  /** Returns the work that was sent to the worker from one time until before another. */
  double workSentMicros(long fromMicros, long toMicros) {
    return workMicrosByTime.subMap(fromMicros, toMicros).values().stream()
        .mapToDouble(workMicros -> workMicros)
        .sum();
  }

  /** Returns the number of different times at which attempts were sent to the worker. */
  int sendTimeCount() {
    return workMicrosByTime.size();
  }

  /** Returns the work that the worker can do in all its slots between two times. */
  double capacityMicros(long fromMicros, long toMicros, Rules rules) {
    return slotFreeAtMicros.length
        * speed
        * (toMicros - fromMicros)
        * (capacityFraction(fromMicros, rules) + capacityFraction(toMicros, rules))
        / 2;
  }

  /**
   * Starts a job in the slot that becomes free first.
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

  /** Records the end of a job that was started. */
  void endJob() {
    activeJobs--;
  }

  /** Returns a load report with the current number of jobs. */
  WorkerLoad loadReport() {
    int slots = slotFreeAtMicros.length;
    return DispatcherHarness.loadReport(
        Math.max(0, activeJobs - slots), activeJobs, Math.max(0, slots - activeJobs));
  }
}
