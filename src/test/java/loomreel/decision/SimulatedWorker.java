package loomreel.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import loomreel.decision.Settings.Rules;

/**
 * A worker of a {@link FleetSimulation}, with its true state, which no dispatcher sees. It runs as
 * many jobs as it has slots, each at its speed and warm-up; the others wait.
 */
final class SimulatedWorker {
  /** How the worker responds to attempts and health checks. */
  enum Mode {
    /** It runs jobs. */
    SERVING,
    /** It rejects jobs, and health checks fail. */
    REJECTING,
    /** No connection can be opened. */
    UNREACHABLE
  }

  final Endpoint endpoint;
  final List<Long> healthChecks = new ArrayList<>();
  Mode mode = Mode.SERVING;

  private final double speed;
  private final long[] slotFreeAt;
  private final TreeMap<Long, Double> workByTime = new TreeMap<>();
  private int activeJobs;

  SimulatedWorker(Endpoint endpoint, int slots, double speed) {
    this.endpoint = endpoint;
    this.speed = speed;
    slotFreeAt = new long[slots];
  }

  /** The fraction of its full capacity that the worker has. */
  private double warmUp(long now, Rules rules) {
    double age = now - endpoint.startedAt();
    return endpoint.startedAt() == 0 || age > rules.slowStartDuration()
        ? 1
        : rules.initialCapacityFraction()
            + (1 - rules.initialCapacityFraction()) * age / rules.slowStartDuration();
  }

  /** Counts an attempt, whether or not the worker runs it. */
  void recordAttempt(double work, long now) {
    workByTime.merge(now, work, Double::sum);
  }

  /** The work that was sent here between two times. */
  double workSent(long from, long to) {
    return workByTime.subMap(from, to).values().stream().mapToDouble(work -> work).sum();
  }

  /** At how many points in time attempts were sent here. */
  int sendTimes() {
    return workByTime.size();
  }

  /** The work that it can do between two times. */
  double capacity(long from, long to, Rules rules) {
    return slotFreeAt.length * speed * (to - from) * (warmUp(from, rules) + warmUp(to, rules)) / 2;
  }

  /**
   * Starts a job in the slot that is free first.
   *
   * @return when it ends
   */
  long startJob(double work, long now, Rules rules) {
    int slot = 0;
    for (int i = 1; i < slotFreeAt.length; i++) {
      slot = slotFreeAt[i] < slotFreeAt[slot] ? i : slot;
    }
    long startsAt = Math.max(now, slotFreeAt[slot]);
    slotFreeAt[slot] = startsAt + (long) (work / speed / warmUp(startsAt, rules));
    activeJobs++;
    return slotFreeAt[slot];
  }

  void endJob() {
    activeJobs--;
  }

  WorkerLoad loadReport() {
    int slots = slotFreeAt.length;
    return DispatcherHarness.loadReport(
        Math.max(0, activeJobs - slots), activeJobs, Math.max(0, slots - activeJobs));
  }
}
