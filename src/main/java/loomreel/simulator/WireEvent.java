package loomreel.simulator;

import java.util.List;
import java.util.Map;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.decision.WorkerLoad;

/**
 * An event of the simulator's protocol, checked and typed. Names are those of the field; the kind
 * on the wire stands in each record's comment. Times and durations are microseconds.
 */
sealed interface WireEvent {
  /** {@code DefineList}: defines an endpoint list that later events name by its number. */
  record EndpointListDefined(long listId, List<Endpoint> endpoints) implements WireEvent {}

  /** {@code Up}: a dispatcher starts with nothing but a seed and its settings. */
  record DispatcherStarted(long seed, Map<?, ?> settings) implements WireEvent {}

  /** {@code Stop}: a dispatcher stops and loses all its state. */
  record DispatcherStopped() implements WireEvent {}

  /** {@code Members} of scope {@code total} or {@code warm_copy}: a complete endpoint list. */
  record EndpointSnapshotReceived(long listId) implements WireEvent {}

  /** {@code Members} of scope {@code incr}: changes to the last endpoint list. */
  record EndpointUpdateReceived(long listId) implements WireEvent {}

  /** {@code Members} of scope {@code lost}: the watch on discovery failed. */
  record EndpointWatchLost() implements WireEvent {}

  /**
   * {@code Inbound}: a client's request.
   *
   * @param key the resource that the job needs, or null
   * @param tenantName null where the request names no tenant
   * @param clientRetry whether the client marked it as a retry
   * @param expectedWork microseconds at speed 1, or NaN where the request gives none
   */
  record RequestReceived(
      String requestId,
      String key,
      double slots,
      String className,
      String tenantName,
      long deadline,
      boolean clientRetry,
      double expectedWork)
      implements WireEvent {}

  /** {@code Withdrawn}: the client cancelled the request. */
  record RequestCancelledByClient(String requestId) implements WireEvent {}

  /**
   * {@code Started}, or {@code UpdateOf} of sort 1 or 2: an attempt's job started or made progress.
   */
  record AttemptProgressReported(String requestId, int attemptNumber) implements WireEvent {}

  /** {@code ReportBack}: an attempt ended; {@code load} is null where it carries no load report. */
  record AttemptCompleted(
      String requestId,
      int attemptNumber,
      String workerId,
      AttemptOutcome outcome,
      boolean answered,
      long duration,
      WorkerLoad load)
      implements WireEvent {}

  /** {@code StatusBack}: a health check ended; {@code load} is null without a load report. */
  record HealthCheckCompleted(
      String workerId, AttemptOutcome outcome, long duration, WorkerLoad load)
      implements WireEvent {}

  /** {@code TickDue}: a timer that the policy set fired. */
  record TimerElapsed(long token) implements WireEvent {}

  /** {@code Memo}, and {@code UpdateOf} of other sorts: carries nothing for the policy. */
  record Ignored() implements WireEvent {}
}
