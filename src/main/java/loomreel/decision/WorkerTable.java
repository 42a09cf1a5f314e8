package loomreel.decision;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import loomreel.decision.Endpoint.State;

/**
 * The workers in the endpoint list. A worker is eligible for new attempts if it is ready and no
 * operator has disabled it. A pool contains the eligible workers of one kind, or those of one kind
 * that accept the jobs of one queue.
 */
final class WorkerTable {
  /**
   * The age that a load report is assumed to have when it arrives, in microseconds. An attempt that
   * was sent within this time before the arrival of the report may be missing from the report.
   */
  static final double REPORT_DELAY_MICROS = 1e6;

  private static final WorkerState[] NO_WORKERS = {};

  private final TreeMap<String, WorkerState> workers = new TreeMap<>();

  /**
   * The times at which operators disabled workers, by worker id. A disabled worker need not be in
   * the endpoint list.
   */
  private final Map<String, Long> disabledSince = new HashMap<>();

  /**
   * The eligible workers by kind. The key null maps to all eligible workers, whatever their kind.
   */
  private final Map<String, WorkerState[]> poolsByKind = new HashMap<>();

  /**
   * The eligible workers by queue and then by kind. {@link #rebuildPools} removes all pools from
   * this map. {@link #pool} adds a pool when a request needs it for the first time.
   */
  private final Map<String, Map<String, WorkerState[]>> poolsByQueue = new HashMap<>();

  private long version;

  WorkerTable() {
    rebuildPools();
  }

  /**
   * Returns the version of the pools, which increases each time {@link #rebuildPools} is called.
   */
  long version() {
    return version;
  }

  /** Returns the number of listed workers. */
  int size() {
    return workers.size();
  }

  /** Returns all listed workers, ordered by id. */
  Collection<WorkerState> all() {
    return workers.values();
  }

  /** Returns the listed worker with the given id; null if there is none. */
  WorkerState get(String id) {
    return workers.get(id);
  }

  /**
   * Returns the worker with the given id. If there is none, adds a worker that has no endpoint yet.
   */
  WorkerState getOrAdd(String id) {
    return workers.computeIfAbsent(id, absent -> new WorkerState(absent, REPORT_DELAY_MICROS));
  }

  /**
   * Marks all workers as removed. The caller then applies a complete endpoint list, which replaces
   * the mark of each worker that is still listed.
   */
  void markAllRemoved() {
    for (WorkerState worker : workers.values()) {
      worker.markRemoved();
    }
  }

  /** Removes the workers that are marked as removed. */
  void dropRemoved() {
    workers.values().removeIf(worker -> worker.endpoint().state() == State.REMOVED);
  }

  /**
   * Disables a worker and rebuilds the pools. If the worker is already disabled, the time at which
   * it was disabled stays the same.
   */
  void disable(String id, long now) {
    disabledSince.putIfAbsent(id, now);
    rebuildPools();
  }

  /** Returns whether an operator has disabled a worker. */
  boolean isDisabled(String id) {
    return disabledSince.containsKey(id);
  }

  /**
   * Enables a worker, which must be disabled. The caller has to call {@link #rebuildPools}
   * afterwards.
   *
   * @return the time at which the worker was disabled
   */
  long enable(String id) {
    return disabledSince.remove(id);
  }

  /**
   * Determines the eligible workers anew, ordered by id, and increases the version. A worker is
   * eligible if it is ready and not disabled.
   */
  void rebuildPools() {
    version++;
    poolsByQueue.clear();
    poolsByKind.clear();
    List<WorkerState> eligible = workers.values().stream().filter(this::isEligible).toList();
    poolsByKind.put(null, eligible.toArray(WorkerState[]::new));
    eligible.stream()
        .collect(Collectors.groupingBy(worker -> worker.endpoint().kind()))
        .forEach((kind, pool) -> poolsByKind.put(kind, pool.toArray(WorkerState[]::new)));
  }

  private boolean isEligible(WorkerState worker) {
    return worker.endpoint().state() == State.READY && !isDisabled(worker.id);
  }

  /**
   * Returns the eligible workers whose kind and queues allow them to run a request, ordered by id.
   */
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

  /**
   * Returns the number of listed workers that are ejected. Workers that are only disabled are not
   * counted.
   */
  long countEjected(long now) {
    return workers.values().stream().filter(worker -> worker.isEjected(now)).count();
  }

  /** Returns the number of listed workers that are ejected or disabled. */
  int countUnavailable(long now) {
    return (int)
        workers.values().stream()
            .filter(worker -> worker.isEjected(now) || isDisabled(worker.id))
            .count();
  }

  /** Returns the number of open attempts at all listed workers. */
  int countOpenAttempts() {
    return workers.values().stream().mapToInt(worker -> worker.openAttempts().size()).sum();
  }

  /** Removes a request from the waiters of the health checks of all workers. */
  void removeHealthCheckWaiter(PendingRequest request) {
    for (WorkerState worker : workers.values()) {
      worker.removeHealthCheckWaiter(request);
    }
  }
}
