package loomreel.core;

import java.util.List;
import loomreel.decision.Endpoint;

/**
 * A set of workers that are called over the same protocol. A pool reports its endpoints and their
 * changes by {@link Dispatcher#endpointsChanged}.
 */
public interface WorkerPool {
  /**
   * Returns the subchannel to the worker with this id, or null if the pool does not list such a
   * worker now.
   */
  Subchannel find(String id);

  /** Returns the number of workers that this pool lists. */
  int size();

  /** Returns all endpoints that this pool lists, in the state that was reported last. */
  List<Endpoint> endpoints();

  /**
   * Starts to watch the endpoint list for changes, unless it is being watched. By default does
   * nothing.
   */
  default void pollEndpoints() {}

  /**
   * Disables a worker or enables it again. Work that is queued for a disabled worker is not sent.
   * By default does nothing.
   */
  default void setDisabled(String id, boolean disabled) {}

  /** Called once per second. By default does nothing. */
  default void runPeriodicTasks() {}
}
