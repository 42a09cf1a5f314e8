package loomreel.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * The active calls of a dispatcher, by id. A call is active from its acceptance until it is
 * completed (answered or cancelled) and all of its attempts have ended.
 *
 * <p>Not thread-safe: used on the event loop's thread only.
 */
final class CallTable {
  private final Map<String, Rpc> calls = new HashMap<>();

  /** The ids of ended calls whose jobs may have run, in this process or in another one. */
  private final CallIdHistory unsafeIds = new CallIdHistory();

  /** Whether jobs of a request class, by its index, must not run twice. */
  private final IntPredicate mustNotRunTwice;

  /**
   * The registry that shares the ids of active calls with another process; null if there is no such
   * registry.
   */
  private CallIdRegistry registry;

  /** The maximum number of active calls. */
  private int capacity;

  /**
   * Creates an empty table.
   *
   * @param mustNotRunTwice whether jobs of a request class, by its index, must not run twice
   */
  CallTable(IntPredicate mustNotRunTwice) {
    this.mustNotRunTwice = mustNotRunTwice;
  }

  /** Sets the maximum number of active calls, which is initially 0. */
  void setCapacity(int maxCalls) {
    capacity = maxCalls;
  }

  boolean hasCapacity() {
    return calls.size() < capacity;
  }

  /**
   * Sets the registry that shares the ids of active calls with another process, or null for none.
   */
  void setRegistry(CallIdRegistry newRegistry) {
    registry = newRegistry;
  }

  void add(Rpc rpc) {
    calls.put(rpc.id(), rpc);
    if (registry != null) {
      registry.acquired(rpc.id());
    }
  }

  /**
   * Removes a call if it is completed and all of its attempts have ended. If its job may have run
   * and must not run again, its id is recorded: otherwise a client that has disconnected could come
   * again with the same id.
   */
  void removeIfDone(Rpc rpc) {
    if (!rpc.isDone() || !calls.remove(rpc.id(), rpc)) {
      return;
    }
    if (rpc.mayHaveRun() && mustNotRunTwice.test(rpc.requestClass())) {
      unsafeIds.add(rpc.id());
    }
    if (registry != null) {
      registry.released(rpc.id());
    }
  }

  /**
   * Returns whether a job with this id may have run before, in an ended call, and must not run
   * again.
   *
   * @param requestClass the index of the request class of the job
   */
  boolean isUnsafe(String id, int requestClass) {
    return mustNotRunTwice.test(requestClass) && unsafeIds.contains(id);
  }

  /** Returns a copy of the ids of ended calls whose jobs may have run. */
  List<String> unsafeIds() {
    return unsafeIds.copy();
  }

  /** Records the ids of calls whose jobs may have run in another process. */
  void addUnsafeIds(Collection<String> ids) {
    unsafeIds.addAll(ids);
  }

  /** Returns the active call with this id, or null if there is none. */
  Rpc find(String id) {
    return calls.get(id);
  }

  boolean isActive(String id) {
    return calls.containsKey(id);
  }

  /**
   * Returns whether a call with this id is active in this process or, according to the registry, in
   * the other process that serves as the same dispatcher.
   */
  boolean inUse(String id) {
    return isActive(id) || (registry != null && registry.inUseElsewhere(id));
  }

  /** Returns a copy of the ids of all active calls. */
  Set<String> activeIds() {
    return Set.copyOf(calls.keySet());
  }

  int size() {
    return calls.size();
  }

  /** Returns the number of active calls that are neither answered nor cancelled. */
  int unansweredCount() {
    return (int) calls.values().stream().filter(rpc -> !rpc.isCompleted()).count();
  }

  /**
   * Aborts the attempts at one worker, except attempts whose request has been completely written.
   *
   * @param worker the id of the worker
   */
  void abortUnsentAttempts(String worker) {
    // Iterates over a copy, because the end of an attempt may start another attempt or remove the
    // call from the table.
    for (Rpc rpc : List.copyOf(calls.values())) {
      rpc.abortUnsent(attempt -> attempt.worker().equals(worker));
    }
  }
}
