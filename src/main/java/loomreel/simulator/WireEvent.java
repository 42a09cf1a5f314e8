package loomreel.simulator;

import java.util.List;
import java.util.Map;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.decision.WorkerLoad;

/**
 * An event of the simulator's protocol, as a typed record with checked fields. The comment of each
 * record states the kind that the event has on the wire. Times and durations are in microseconds.
 */
sealed interface WireEvent {
  /** {@code DefineList}: defines an endpoint list, which later events refer to by its id. */
  record EndpointListDefined(long listId, List<Endpoint> endpoints) implements WireEvent {}

  /** {@code Up}: a dispatcher starts without state, with a seed for random numbers and settings. */
  record DispatcherStarted(long seed, Map<?, ?> settings) implements WireEvent {}

  /** {@code Stop}: a dispatcher stops and loses all its state. */
  record DispatcherStopped() implements WireEvent {}

  /** {@code Members} of scope {@code total} or {@code warm_copy}: a complete endpoint list. */
  record EndpointSnapshotReceived(long listId) implements WireEvent {}

  /** {@code Members} of scope {@code incr}: a list of the endpoints that changed. */
  record EndpointUpdateReceived(long listId) implements WireEvent {}

  /** {@code Members} of scope {@code lost}: the watch on discovery failed. */
  record EndpointWatchLost() implements WireEvent {}

  /**
   * {@code Inbound}: a request of a client arrived.
   *
   * @param key the resource that the job needs, or null if it needs none
   * @param slots the number of worker slots that the job takes, at least 1
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
   * {@code Started}, or {@code UpdateOf} of {@code Sort} 1 or 2: the job of an attempt started or
   * made progress.
   */
  record AttemptProgressReported(String requestId, int attemptNumber) implements WireEvent {}

  /**
   * {@code ReportBack}: an attempt ended.
   *
   * @param answered whether the request has its final answer
   * @param durationMicros the time from the start of the attempt to its end
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
   * @param durationMicros the time from the start of the health check to its end
   * @param load the load report of the worker, or null if the event carries none
   */
  record HealthCheckCompleted(
      String workerId, AttemptOutcome outcome, long durationMicros, WorkerLoad load)
      implements WireEvent {}

  /** {@code TickDue}: a timer fired, which the policy had set with this token. */
  record TimerElapsed(long token) implements WireEvent {}

  /** {@code Memo}, or {@code UpdateOf} of another {@code Sort}: has no meaning for the policy. */
  record Ignored() implements WireEvent {}
}
