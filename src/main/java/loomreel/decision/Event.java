package loomreel.decision;

import java.util.List;

/** What a dispatcher observes and reports to the policy. Times are microseconds. */
public sealed interface Event {
  /** The dispatcher starts, with these settings and a seed of its own for random numbers. */
  record Start(long seed, Settings settings) implements Event {}

  /** The dispatcher stops; its state is void. */
  record Stop() implements Event {}

  /** The complete endpoint list: a worker that is missing from it has been removed. */
  record EndpointSnapshot(List<Endpoint> endpoints) implements Event {}

  /** Changes to the endpoint list. */
  record EndpointUpdate(List<Endpoint> endpoints) implements Event {}

  /** A poll or watch of the endpoint list has failed; the last list stays valid. */
  record WatchFailed() implements Event {}

  /**
   * A request has arrived.
   *
   * @param key the program or data set that the job needs, or null
   * @param slots the slots that the job takes
   * @param classIndex its class's position in {@link Settings#classes()}
   * @param tenantIndex the tenant's position in {@link Settings#tenants()}, or -1
   * @param deadline when the client stops waiting
   * @param expectedWork the expected run time in microseconds at speed 1, or NaN if unknown
   * @param queue the queue whose workers alone may run it, or null
   * @param hasIdempotencyKey whether it has an idempotency key; keyed work without one is not
   *     idempotent
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
    /** Creates a request without a queue, with the idempotency key that its class requires. */
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

  /** The client has disconnected, or its deadline has passed: no answer is needed any more. */
  record RequestCancelled(String requestId) implements Event {}

  /** The worker reports that an attempt's job has started, or has made progress. */
  record AttemptProgressed(String requestId, int attemptNumber) implements Event {}

  /**
   * An attempt has ended.
   *
   * @param answered whether the request has its final answer with that
   * @param duration since the attempt started, in microseconds
   * @param load the load report that came with it, or null
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
   * @param duration since it was sent, in microseconds
   * @param load the load report, or null
   */
  record HealthChecked(String workerId, AttemptOutcome outcome, long duration, WorkerLoad load)
      implements Event {}

  /**
   * An operator has disabled a worker: it gets no new attempts, whatever its state in the endpoint
   * list.
   */
  record WorkerDisabled(String workerId) implements Event {}

  /** An operator has enabled a worker again; it may have restarted since it was disabled. */
  record WorkerEnabled(String workerId) implements Event {}

  /**
   * Another process serves as the same dispatcher, or does so no longer.
   *
   * @param fraction the fraction of the dispatcher's slow-start allowance that this process may use
   */
  record CapacityFractionChanged(double fraction) implements Event {}

  /** A timer that {@link Action.SetTimer} requested has fired. */
  record TimerFired(long token) implements Event {}
}
