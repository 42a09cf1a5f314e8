package loomreel.core;

import java.util.List;
import loomreel.decision.Endpoint;

/**
 * A set of workers that are called over the same protocol. A pool reports its endpoints, and each
 * later change of an endpoint, to {@link Dispatcher#endpointsChanged}.
 */
public interface WorkerPool {
  /**
   * Returns the subchannel to the worker with this id, or null if the pool does not currently list
   * a worker with this id.
   */
  Subchannel find(String id);

  /** Returns the number of workers that this pool lists. */
  int size();

  /** Returns all endpoints that this pool lists, in the state that the pool reported last. */
  List<Endpoint> endpoints();

  /**
   * Starts to poll the endpoint list. From now on, the pool watches the list: after each successful
   * poll it polls the list again, until the pool reports {@link Dispatcher#watchFailed}. If a poll
   * is in flight, this method has no effect. The default implementation never has an effect.
   */
  default void pollEndpoints() {}

  /**
   * Disables a worker or enables it again. Work that is queued for a disabled worker is not sent.
   * By default does nothing.
   *
   * @param id the id of the worker
   */
  default void setDisabled(String id, boolean disabled) {}

  /** Runs the periodic tasks of this pool. Called once per second. By default does nothing. */
  default void runPeriodicTasks() {}
}
