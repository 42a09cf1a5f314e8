package loomreel.decision;

import java.util.Set;

/**
 * The entry of a worker in the endpoint list.
 *
 * @param id the id of the worker, which is the same at every dispatcher and does not change when
 *     the worker restarts
 * @param kind the kind of the worker; a request class may require workers of one kind
 * @param failureDomain the part of the zone that fails as a unit, such as a rack; -1 if unknown
 * @param startedAt the start time of the worker's process, in microseconds; 0 if the process
 *     started long ago or the time is unknown
 * @param weight the weight of the worker in the ranking of workers for job keys; if {@link
 *     Settings#stableWeights()} is true, the number of keys that prefer the worker is proportional
 *     to its weight
 * @param queues the queues whose jobs the worker accepts; null if it accepts the jobs of every
 *     queue
 */
public record Endpoint(
    String id,
    String zone,
    String kind,
    int failureDomain,
    State state,
    long startedAt,
    double weight,
    Set<String> queues) {
  /** Creates an endpoint that accepts the jobs of every queue. */
  public Endpoint(
      String id,
      String zone,
      String kind,
      int failureDomain,
      State state,
      long startedAt,
      double weight) {
    this(id, zone, kind, failureDomain, state, startedAt, weight, null);
  }

  /** Returns a copy of this endpoint with another state. */
  public Endpoint withState(State newState) {
    return new Endpoint(id, zone, kind, failureDomain, newState, startedAt, weight, queues);
  }

  /**
   * Returns whether the worker accepts the jobs of a queue. If {@code queue} is null, the job has
   * no queue, and every worker accepts it.
   */
  boolean accepts(String queue) {
    return queues == null || queue == null || queues.contains(queue);
  }

  /** The state of a worker in the endpoint list. */
  public enum State {
    /** The worker accepts new attempts. */
    READY,
    /** The worker completes its open attempts and accepts no new ones. */
    DRAINING,
    /** The worker is no longer in the list. */
    REMOVED
  }
}
