package loomreel.core;

import java.util.ArrayList;
import java.util.List;
import loomreel.decision.Endpoint;
import loomreel.decision.Event;

/** All worker pools of a dispatcher, in the order in which they were added. */
final class WorkerPools {
  private final List<WorkerPool> pools = new ArrayList<>(2);

  void add(WorkerPool pool) {
    pools.add(pool);
  }

  /** The subchannel to a worker that one of the pools lists, or null if none does. */
  Subchannel find(String worker) {
    for (WorkerPool pool : pools) {
      Subchannel subchannel = pool.find(worker);
      if (subchannel != null) {
        return subchannel;
      }
    }
    return null;
  }

  /** How many workers all pools list. */
  int size() {
    return pools.stream().mapToInt(WorkerPool::size).sum();
  }

  void setDisabled(String worker, boolean disabled) {
    pools.forEach(pool -> pool.setDisabled(worker, disabled));
  }

  void pollEndpoints() {
    pools.forEach(WorkerPool::pollEndpoints);
  }

  void runPeriodicTasks() {
    pools.forEach(WorkerPool::runPeriodicTasks);
  }

  /**
   * The event for a pool's new endpoint list. To the decision module, a worker that is missing from
   * a snapshot has been removed, so a snapshot also names the endpoints of all other pools.
   */
  Event endpointEvent(WorkerPool source, boolean snapshot, List<Endpoint> endpoints) {
    if (!snapshot) {
      return new Event.EndpointUpdate(endpoints);
    }
    if (pools.size() == 1) {
      return new Event.EndpointSnapshot(endpoints);
    }
    List<Endpoint> all = new ArrayList<>(endpoints);
    pools.stream().filter(pool -> pool != source).forEach(pool -> all.addAll(pool.endpoints()));
    return new Event.EndpointSnapshot(all);
  }
}
