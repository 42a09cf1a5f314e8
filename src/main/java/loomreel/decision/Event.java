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

  /** The dispatcher stops. The policy discards its state. */
  record Stop() implements Event {}

  /** The complete endpoint list has arrived. A worker that is not in it has been removed. */
  record EndpointSnapshot(List<Endpoint> endpoints) implements Event {}

  /** Changes to the endpoint list have arrived. */
  record EndpointUpdate(List<Endpoint> endpoints) implements Event {}

  /** A poll or watch of the endpoint list has failed. The previous list stays valid. */
  record WatchFailed() implements Event {}

  /**
   * A request has arrived.
   *
   * @param key the program or data set that the job needs, which determines its preferred workers;
   *     null if there is none
   * @param slots the number of worker slots that the job occupies
   * @param classIndex the position of the request's class in {@link Settings#classes()}
   * @param tenantIndex the position of the request's tenant in {@link Settings#tenants()}; -1 if
   *     the tenant is unknown
   * @param deadline the time at which the client stops waiting
   * @param clientRetry whether the client marked the request as a retry
   * @param expectedWork the expected run time of the job at speed 1, in microseconds; NaN if
   *     unknown
   * @param queue the queue of the job, whose workers alone may run it; null if any worker may run
   *     it
   * @param hasIdempotencyKey whether the request has an idempotency key; a request of a keyed class
   *     without one is treated as not idempotent
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
    /** Creates a request without a queue that has the idempotency key that its class requires. */
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
   * The client has disconnected or its deadline has passed. The request needs no answer any more.
   */
  record RequestCancelled(String requestId) implements Event {}

  /** A worker reports that the job of an attempt has started or has made progress. */
  record AttemptProgressed(String requestId, int attemptNumber) implements Event {}

  /**
   * An attempt has ended.
   *
   * @param answered whether the request already has its final answer
   * @param duration the time since the attempt was sent, in microseconds
   * @param load the load report that arrived with the outcome; null if there is none
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
   * @param duration the time since the health check was sent, in microseconds
   * @param load the load report; null if there is none
   */
  record HealthChecked(String workerId, AttemptOutcome outcome, long duration, WorkerLoad load)
      implements Event {}

  /**
   * An operator has disabled a worker. The worker receives no new attempts, whatever its state in
   * the endpoint list.
   */
  record WorkerDisabled(String workerId) implements Event {}

  /**
   * An operator has enabled a worker again. The worker may have restarted since it was disabled.
   */
  record WorkerEnabled(String workerId) implements Event {}

  /**
   * A second process has begun or ceased to serve as the same dispatcher, as happens in a hot
   * restart.
   *
   * @param fraction the fraction of the dispatcher's slow-start allowance that this process may
   *     use, from 0 to 1
   */
  record CapacityFractionChanged(double fraction) implements Event {}

  /**
   * A timer that {@link Action.SetTimer} requested has fired.
   *
   * @param token the token of that action
   */
  record TimerFired(long token) implements Event {}
}
