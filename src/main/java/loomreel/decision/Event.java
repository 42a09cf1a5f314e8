package loomreel.decision;

import java.util.List;

/**
 * An observation that a dispatcher reports to the policy. All times and durations are in
 * microseconds.
 */
public sealed interface Event {
  /**
   * The dispatcher starts.
   *
   * @param seed the seed of the policy's random numbers, which differs between dispatchers
   */
  record Start(long seed, Settings settings) implements Event {}

  /**
   * The dispatcher stops. At its next start, the policy begins without workers, requests and
   * estimates. Only the fraction of the last {@link CapacityFractionChanged} remains in effect.
   */
  record Stop() implements Event {}

  /**
   * The complete endpoint list has arrived. A known worker that is not in the list has been
   * removed.
   */
  record EndpointSnapshot(List<Endpoint> endpoints) implements Event {}

  /**
   * Changes to the endpoint list have arrived. A known worker that the event does not name is
   * unchanged.
   *
   * @param endpoints the entries that are new or have changed; the entry of a worker that has left
   *     the list has the state {@link Endpoint.State#REMOVED}
   */
  record EndpointUpdate(List<Endpoint> endpoints) implements Event {}

  /**
   * A poll or watch of the endpoint list has failed. The last endpoint list that arrived stays
   * valid.
   */
  record WatchFailed() implements Event {}

  /**
   * A request has arrived.
   *
   * @param key the program or data set that the job needs; jobs with the same key prefer the same
   *     workers; null if the job has no key
   * @param slots the number of worker slots that the job occupies
   * @param classIndex the position of the request's class in {@link Settings#classes()}
   * @param tenantIndex the position of the request's tenant in {@link Settings#tenants()}; -1 if
   *     the tenant is unknown
   * @param deadline the time at which the client stops waiting
   * @param clientRetry whether the client marked the request as a retry
   * @param expectedWork the work that the request announces for its job, which is the expected run
   *     time, in microseconds, in a slot of speed 1; NaN if the request announces none
   * @param queue the queue of the job; only workers that accept this queue may run the job; null if
   *     any worker may run it
   * @param hasIdempotencyKey whether the request has an idempotency key; a request without such a
   *     key is treated as not idempotent if its class is {@link Idempotency#KEYED}
   */
  record RequestArrived(
      String requestId,
      String key,
      double slots,
      int classIndex,
      int tenantIndex,
      long deadline,
      boolean clientRetry,
      double expectedWork,
      String queue,
      boolean hasIdempotencyKey)
      implements Event {
    /**
     * Creates an event for a request without a queue. The component {@code hasIdempotencyKey} is
     * set to true for every request, even if the class of the request does not need such a key.
     */
    public RequestArrived(
        String requestId,
        String key,
        double slots,
        int classIndex,
        int tenantIndex,
        long deadline,
        boolean clientRetry,
        double expectedWork) {
      this(
          requestId,
          key,
          slots,
          classIndex,
          tenantIndex,
          deadline,
          clientRetry,
          expectedWork,
          null,
          true);
    }
  }

  /**
   * A request needs no answer any more, because its client has disconnected or its deadline has
   * passed.
   */
  record RequestCancelled(String requestId) implements Event {}

  /** A worker reports that the job of an attempt has started or has made progress. */
  record AttemptProgressed(String requestId, int attemptNumber) implements Event {}

  /**
   * An attempt has ended.
   *
   * @param answered whether the request already has its final answer
   * @param duration the time from the send of the attempt to its end, in microseconds
   * @param load the load report of the worker that arrived with the outcome; null if there is none
   */
  record AttemptEnded(
      String requestId,
      int attemptNumber,
      String workerId,
      AttemptOutcome outcome,
      boolean answered,
      long duration,
      WorkerLoad load)
      implements Event {}

  /**
   * A health check has ended.
   *
   * @param duration the time from the send of the health check to its end, in microseconds
   * @param load the load report of the worker that arrived with the outcome; null if there is none
   */
  record HealthChecked(String workerId, AttemptOutcome outcome, long duration, WorkerLoad load)
      implements Event {}

  /**
   * An operator has disabled a worker. The worker receives no new attempts, even if the endpoint
   * list names it as ready.
   */
  record WorkerDisabled(String workerId) implements Event {}

  /**
   * An operator has enabled a worker that was disabled. The worker may have restarted while it was
   * disabled.
   */
  record WorkerEnabled(String workerId) implements Event {}

  /**
   * A second process has begun or ceased to serve as the same dispatcher, as happens in a hot
   * restart. While two processes serve, they divide the dispatcher's limits on the work for warming
   * workers. {@link SlowStartController} describes these limits.
   *
   * @param fraction the fraction of the dispatcher's limits that this process may use, from 0 to 1
   */
  record CapacityFractionChanged(double fraction) implements Event {}

  /**
   * A timer that {@link Action.SetTimer} requested has fired.
   *
   * @param token the token of that action
   */
  record TimerFired(long token) implements Event {}
}
