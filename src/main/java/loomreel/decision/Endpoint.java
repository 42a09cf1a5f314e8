package loomreel.decision;

import java.util.Set;

/**
 * A worker as the endpoint list names it.
 *
 * @param id the same at every dispatcher, and after a restart
 * @param failureDomain the part of the zone that fails together, such as a rack, or -1
 * @param startedAt when its process started, in microseconds; 0 if it has been up for long
 * @param weight its fraction of the keys relative to the weights of other workers
 * @param queues the queues whose jobs it accepts, or null for all
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
  /** Creates an endpoint that accepts the jobs of all queues. */
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

  /** The same worker in another state. */
  public Endpoint withState(State newState) {
    return new Endpoint(id, zone, kind, failureDomain, newState, startedAt, weight, queues);
  }

  /** Whether it accepts the jobs of a queue; null stands for jobs without one, which go to any. */
  boolean accepts(String queue) {
    return queues == null || queue == null || queues.contains(queue);
  }

  /** The state of a worker according to the endpoint list. */
  public enum State {
    /** It accepts new attempts. */
    READY,
    /** It finishes what it has and accepts nothing new. */
    DRAINING,
    /** The list does not name it any more. */
    REMOVED
  }
}
