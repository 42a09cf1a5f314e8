package loomreel.decision;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import loomreel.decision.Endpoint.State;

/** The workers that the endpoint list names, and those of them that may get new work. */
final class WorkerTable {
  /** The age of a load report on its arrival: attempts sent since then are not in it. */
  static final double REPORT_DELAY_MICROS = 1e6;

  private static final WorkerState[] NO_WORKERS = {};

  private final TreeMap<String, WorkerState> workers = new TreeMap<>();

  /** The workers that operators have disabled, listed or not, and since when. */
  private final Map<String, Long> disabledSince = new HashMap<>();

  /** The eligible workers of each kind, and all of them under null. */
  private final Map<String, WorkerState[]> poolsByKind = new HashMap<>();

  /** The eligible workers by queue, then kind, for the queues that jobs have named so far. */
  private final Map<String, Map<String, WorkerState[]>> poolsByQueue = new HashMap<>();

  private long version;

  WorkerTable() {
    rebuildPools();
  }

  /** Counts the changes of the eligible workers. */
  long version() {
    return version;
  }

  int size() {
    return workers.size();
  }

  /** All listed workers, by id. */
  Collection<WorkerState> all() {
    return workers.values();
  }

  /** A listed worker, or null. */
  WorkerState get(String id) {
    return workers.get(id);
  }

  /** A listed worker; a new one has no endpoint yet. */
  WorkerState getOrAdd(String id) {
    return workers.computeIfAbsent(id, absent -> new WorkerState(absent, REPORT_DELAY_MICROS));
  }

  /** Marks all workers as removed; the caller then applies the new list. */
  void markAllRemoved() {
    for (WorkerState worker : workers.values()) {
      worker.markRemoved();
    }
  }

  /** Drops the workers that are marked as removed. */
  void dropRemoved() {
    workers.values().removeIf(worker -> worker.endpoint().state() == State.REMOVED);
  }

  /** Disables a worker, unless it is disabled. */
  void disable(String id, long now) {
    disabledSince.putIfAbsent(id, now);
    rebuildPools();
  }

  boolean isDisabled(String id) {
    return disabledSince.containsKey(id);
  }

  /**
   * Enables a worker again; the caller then calls {@link #rebuildPools}.
   *
   * @return when it was disabled
   */
  long enable(String id) {
    return disabledSince.remove(id);
  }

  /** Finds out which workers are eligible: ready and not disabled, sorted by id. */
  void rebuildPools() {
    version++;
    poolsByQueue.clear();
    poolsByKind.clear();
    List<WorkerState> ready = workers.values().stream().filter(this::isEligible).toList();
    poolsByKind.put(null, ready.toArray(WorkerState[]::new));
    ready.stream()
        .collect(Collectors.groupingBy(worker -> worker.endpoint().kind()))
        .forEach((kind, pool) -> poolsByKind.put(kind, pool.toArray(WorkerState[]::new)));
  }

  private boolean isEligible(WorkerState worker) {
    return worker.endpoint().state() == State.READY && !isDisabled(worker.id);
  }

  /** The eligible workers that may run a request. */
  WorkerState[] pool(PendingRequest request) {
    String kind = request.requestClass.workerKind();
    String queue = request.arrival.queue();
    WorkerState[] workersOfKind = poolsByKind.getOrDefault(kind, NO_WORKERS);
    if (queue == null) {
      return workersOfKind;
    }
    return poolsByQueue
        .computeIfAbsent(queue, absent -> new HashMap<>())
        .computeIfAbsent(kind, absent -> workersAcceptingQueue(queue, workersOfKind));
  }

  private static WorkerState[] workersAcceptingQueue(String queue, WorkerState[] workers) {
    return Arrays.stream(workers)
        .filter(worker -> worker.endpoint().accepts(queue))
        .toArray(WorkerState[]::new);
  }

  /** How many listed workers are ejected now. */
  long countEjected(long now) {
    return workers.values().stream().filter(worker -> worker.isEjected(now)).count();
  }

  /** How many listed workers are ejected or disabled now. */
  int countUnavailable(long now) {
    return (int)
        workers.values().stream()
            .filter(worker -> worker.isEjected(now) || isDisabled(worker.id))
            .count();
  }

  /** How many attempts are open at all listed workers. */
  int countOpenAttempts() {
    return workers.values().stream().mapToInt(worker -> worker.openAttempts().size()).sum();
  }

  /** Takes a request off the lists of those that wait for a health check. */
  void removeHealthCheckWaiter(PendingRequest request) {
    for (WorkerState worker : workers.values()) {
      worker.removeHealthCheckWaiter(request);
    }
  }
}
