package loomreel.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The active calls of a dispatcher, by id. A call is active from its acceptance until it has its
 * answer and every attempt of it has ended. Used on the event loop's thread only.
 */
final class CallTable {
  private final Map<String, Rpc> calls = new HashMap<>();

  /** Informed of ids that become active or free; null where no other process shares them. */
  private CallIdRegistry registry;

  private int capacity;

  /** Sets how many calls may be active at a time; 0 before the first call of this method. */
  void setCapacity(int maxCalls) {
    capacity = maxCalls;
  }

  boolean hasCapacity() {
    return calls.size() < capacity;
  }

  /** Sets who is informed of active ids; null for nobody. */
  void setRegistry(CallIdRegistry newRegistry) {
    registry = newRegistry;
  }

  void add(Rpc rpc) {
    calls.put(rpc.id(), rpc);
    if (registry != null) {
      registry.acquired(rpc.id());
    }
  }

  /** Removes a call that has its answer and no open attempt; else changes nothing. */
  void removeIfDone(Rpc rpc) {
    if (rpc.isDone() && calls.remove(rpc.id(), rpc) && registry != null) {
      registry.released(rpc.id());
    }
  }

  /** The active call with that id, or null if there is none. */
  Rpc find(String id) {
    return calls.get(id);
  }

  boolean isActive(String id) {
    return calls.containsKey(id);
  }

  /** Whether the id belongs to an active call, here or in the process that shares the registry. */
  boolean inUse(String id) {
    return isActive(id) || (registry != null && registry.inUseElsewhere(id));
  }

  /** A copy of the ids of all active calls. */
  Set<String> activeIds() {
    return Set.copyOf(calls.keySet());
  }

  int size() {
    return calls.size();
  }

  /** How many active calls have no answer yet. */
  int unansweredCount() {
    return (int) calls.values().stream().filter(rpc -> !rpc.isCompleted()).count();
  }

  /** Aborts those attempts at a worker whose request has not been completely written. */
  void abortUnsentAttempts(String worker) {
    // A copy, since the end of an attempt may add another attempt or remove its call.
    for (Rpc rpc : List.copyOf(calls.values())) {
      rpc.abortUnsent(attempt -> attempt.worker().equals(worker));
    }
  }
}
