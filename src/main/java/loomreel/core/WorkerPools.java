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

  /** Returns the subchannel to a worker, or null if no pool lists a worker with this id. */
  Subchannel find(String worker) {
    for (WorkerPool pool : pools) {
      Subchannel subchannel = pool.find(worker);
      if (subchannel != null) {
        return subchannel;
      }
    }
    return null;
  }

  /** Returns the total number of workers that the pools list. */
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
   * Returns the event that reports endpoints of one pool to the policy. The policy removes each
   * worker that is missing from an {@link Event.EndpointSnapshot}, so a snapshot event also
   * contains the endpoints of all other pools.
   *
   * @param source the pool that lists the endpoints
   * @param snapshot true if the list has all endpoints of the pool, false if the list has only
   *     changes
   */
  Event endpointEvent(WorkerPool source, boolean snapshot, List<Endpoint> endpoints) {
    if (!snapshot) {
      return new Event.EndpointUpdate(endpoints);
    }
    if (pools.size() == 1) {
      return new Event.EndpointSnapshot(endpoints);
    }
    List<Endpoint> allEndpoints = new ArrayList<>(endpoints);
    pools.stream()
        .filter(pool -> pool != source)
        .forEach(pool -> allEndpoints.addAll(pool.endpoints()));
    return new Event.EndpointSnapshot(allEndpoints);
  }
}
