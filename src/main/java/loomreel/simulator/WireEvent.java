package loomreel.simulator;

import java.util.List;
import java.util.Map;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.decision.WorkerLoad;

/**
 * An event of the simulator's protocol, as a typed record with checked fields. The comment of each
 * record begins with the kind of the event in the protocol. Times and durations are in
 * microseconds.
 */
sealed interface WireEvent {
  /** {@code DefineList}: defines an endpoint list, which later events refer to by its id. */
  record EndpointListDefined(long listId, List<Endpoint> endpoints) implements WireEvent {}

  /**
   * {@code Up}: a dispatcher starts without state.
   *
   * @param seed the seed for the random numbers of the policy
   * @param settings the settings of the dispatcher as JSON fields by name
   */
  record DispatcherStarted(long seed, Map<?, ?> settings) implements WireEvent {}

  /** {@code Stop}: a dispatcher stops and loses all its state. */
  record DispatcherStopped() implements WireEvent {}

  /**
   * {@code Members} with {@code Scope} {@code total} or {@code warm_copy}: a dispatcher received a
   * complete endpoint list.
   *
   * @param listId the id with which {@link EndpointListDefined} defined the list
   */
  record EndpointSnapshotReceived(long listId) implements WireEvent {}

  /**
   * {@code Members} with {@code Scope} {@code incr}: a dispatcher received a list of the endpoints
   * that changed.
   *
   * @param listId the id with which {@link EndpointListDefined} defined the list
   */
  record EndpointUpdateReceived(long listId) implements WireEvent {}

  /**
   * {@code Members} with {@code Scope} {@code lost}: a poll or watch of the endpoint list failed.
   */
  record EndpointWatchLost() implements WireEvent {}

  /**
   * {@code Inbound}: a request of a client arrived.
   *
   * @param key the routing key, which names the resource that the job needs; null if the job needs
   *     none
   * @param slots the number of worker slots that the job takes, at least 1
   * @param className the name of the request class
   * @param tenantName the name of the tenant, or null if the request names none
   * @param deadlineMicros the time at which the client stops waiting for an answer
   * @param clientRetry whether the client marked the request as a retry
   * @param expectedWorkMicros the expected run time at a worker of speed 1, or NaN if the request
   *     does not state it
   */
  record RequestReceived(
      String requestId,
      String key,
      double slots,
      String className,
      String tenantName,
      long deadlineMicros,
      boolean clientRetry,
      double expectedWorkMicros)
      implements WireEvent {}

  /** {@code Withdrawn}: the client cancelled the request. */
  record RequestCancelledByClient(String requestId) implements WireEvent {}

  /**
   * {@code Started}, or {@code UpdateOf} with {@code Sort} 1 or 2: the job of an attempt started or
   * made progress.
   */
  record AttemptProgressReported(String requestId, int attemptNumber) implements WireEvent {}

  /**
   * {@code ReportBack}: an attempt ended.
   *
   * @param answered whether the request has its final answer
   * @param durationMicros the time from the start of the attempt to its end, or 0 if the event does
   *     not state it
   * @param load the load report of the worker, or null if the event carries none
   */
  record AttemptCompleted(
      String requestId,
      int attemptNumber,
      String workerId,
      AttemptOutcome outcome,
      boolean answered,
      long durationMicros,
      WorkerLoad load)
      implements WireEvent {}

  /**
   * {@code StatusBack}: a health check ended.
   *
   * @param durationMicros the time from the start of the health check to its end, or 0 if the event
   *     does not state it
   * @param load the load report of the worker, or null if the event carries none
   */
  record HealthCheckCompleted(
      String workerId, AttemptOutcome outcome, long durationMicros, WorkerLoad load)
      implements WireEvent {}

  /** {@code TickDue}: the timer that the policy set with this token fired. */
  record TimerElapsed(long token) implements WireEvent {}

  /**
   * {@code Memo}, or {@code UpdateOf} with a {@code Sort} other than 1 and 2: an event that has no
   * meaning for the policy.
   */
  record Ignored() implements WireEvent {}
}
