package loomreel.simulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.decision.WorkerLoad;
import loomreel.simulator.WireEvent.AttemptCompleted;
import loomreel.simulator.WireEvent.AttemptProgressReported;
import loomreel.simulator.WireEvent.DispatcherStarted;
import loomreel.simulator.WireEvent.DispatcherStopped;
import loomreel.simulator.WireEvent.EndpointListDefined;
import loomreel.simulator.WireEvent.EndpointSnapshotReceived;
import loomreel.simulator.WireEvent.EndpointUpdateReceived;
import loomreel.simulator.WireEvent.EndpointWatchLost;
import loomreel.simulator.WireEvent.HealthCheckCompleted;
import loomreel.simulator.WireEvent.Ignored;
import loomreel.simulator.WireEvent.RequestCancelledByClient;
import loomreel.simulator.WireEvent.RequestReceived;
import loomreel.simulator.WireEvent.TimerElapsed;

/**
 * Checks the fields of events that were read from JSON and converts the events to {@link
 * WireEvent}s.
 */
final class WireEventReader {
  /**
   * The bit in the field {@code Marks} of a request that is set if the field {@code WeightHintS}
   * states the expected work.
   */
  private static final long FLAG_EXPECTED_WORK = 1;

  /**
   * The bit in the field {@code Marks} of a request that is set if the client marked the request as
   * a retry.
   */
  private static final long FLAG_CLIENT_RETRY = 2;

  /**
   * The value of the field {@code Sort} in an {@code UpdateOf} event that reports the start of the
   * job.
   */
  private static final long UPDATE_TYPE_STARTED = 1;

  /**
   * The value of the field {@code Sort} in an {@code UpdateOf} event that reports progress of the
   * job.
   */
  private static final long UPDATE_TYPE_PROGRESSED = 2;

  /** The failure domain of an endpoint for which the event states none. */
  private static final int NO_FAILURE_DOMAIN = -1;

  private WireEventReader() {}

  /**
   * Converts one event.
   *
   * @throws MalformedBatchException if the kind of the event is unknown, a required field is
   *     absent, or a field has an invalid type or value
   */
  static WireEvent read(WireObject event) throws MalformedBatchException {
    return switch (event.kind()) {
      case WireNames.ENDPOINT_LIST_DEFINED -> endpointList(event);
      case WireNames.DISPATCHER_STARTED ->
          new DispatcherStarted(event.integer(WireNames.SEED), event.object(WireNames.SETTINGS));
      case WireNames.DISPATCHER_STOPPED -> new DispatcherStopped();
      case WireNames.ENDPOINTS_CHANGED -> endpointChange(event);
      case WireNames.REQUEST_RECEIVED -> requestReceived(event);
      case WireNames.REQUEST_CANCELLED ->
          new RequestCancelledByClient(event.text(WireNames.REQUEST_ID));
      case WireNames.JOB_STARTED -> attemptProgress(event);
      case WireNames.ATTEMPT_UPDATED -> attemptUpdate(event);
      case WireNames.ATTEMPT_COMPLETED -> attemptCompleted(event);
      case WireNames.HEALTH_CHECK_COMPLETED -> healthCheckCompleted(event);
      case WireNames.TIMER_ELAPSED -> new TimerElapsed(event.integer(WireNames.TIMER_TOKEN));
      case WireNames.COMMENT_RECEIVED -> new Ignored();
      default -> throw new MalformedBatchException("unknown event " + event.kind());
    };
  }

  private static WireEvent endpointChange(WireObject event) throws MalformedBatchException {
    String scope = event.text(WireNames.SCOPE);
    return switch (scope) {
      case WireNames.SCOPE_WATCH_LOST -> new EndpointWatchLost();
      case WireNames.SCOPE_UPDATE ->
          new EndpointUpdateReceived(event.integer(WireNames.ENDPOINT_LIST_ID));
      case WireNames.SCOPE_SNAPSHOT, WireNames.SCOPE_CACHED_SNAPSHOT ->
          new EndpointSnapshotReceived(event.integer(WireNames.ENDPOINT_LIST_ID));
      default -> throw new MalformedBatchException("Members has the unknown Scope " + scope);
    };
  }

  private static WireEvent requestReceived(WireObject event) throws MalformedBatchException {
    long flags = (long) event.number(WireNames.REQUEST_FLAGS, 0);
    return new RequestReceived(
        event.text(WireNames.REQUEST_ID),
        event.has(WireNames.KEY) ? event.text(WireNames.KEY) : null,
        Math.max(1, event.number(WireNames.SLOTS, 1)),
        event.text(WireNames.REQUEST_CLASS),
        event.valueOrNull(WireNames.TENANT) instanceof String tenantName ? tenantName : null,
        event.micros(WireNames.DEADLINE_SECONDS),
        (flags & FLAG_CLIENT_RETRY) != 0,
        (flags & FLAG_EXPECTED_WORK) != 0
            ? event.number(WireNames.EXPECTED_WORK_SECONDS, Double.NaN)
                * WireObject.MICROS_PER_SECOND
            : Double.NaN);
  }

  private static WireEvent attemptProgress(WireObject event) throws MalformedBatchException {
    return new AttemptProgressReported(
        event.text(WireNames.REQUEST_ID), (int) event.integer(WireNames.ATTEMPT_NUMBER));
  }

  private static WireEvent attemptUpdate(WireObject event) throws MalformedBatchException {
    long updateType = event.integer(WireNames.UPDATE_TYPE);
    return updateType == UPDATE_TYPE_STARTED || updateType == UPDATE_TYPE_PROGRESSED
        ? attemptProgress(event)
        : new Ignored();
  }

  private static WireEvent attemptCompleted(WireObject event) throws MalformedBatchException {
    return new AttemptCompleted(
        event.text(WireNames.REQUEST_ID),
        (int) event.integer(WireNames.ATTEMPT_NUMBER),
        event.text(WireNames.WORKER_ID),
        outcome(event),
        Boolean.TRUE.equals(event.valueOrNull(WireNames.ANSWERED)),
        event.micros(WireNames.DURATION_SECONDS, 0),
        load(event));
  }

  private static WireEvent healthCheckCompleted(WireObject event) throws MalformedBatchException {
    return new HealthCheckCompleted(
        event.text(WireNames.WORKER_ID),
        outcome(event),
        event.micros(WireNames.DURATION_SECONDS, 0),
        load(event));
  }

  /**
   * Returns the outcome of an attempt or health check. The field {@code How} states the outcome as
   * 0 for success, or as an errno value of Linux.
   */
  private static AttemptOutcome outcome(WireObject event) throws MalformedBatchException {
    int outcomeCode = (int) event.integer(WireNames.OUTCOME);
    return switch (outcomeCode) {
      case 0 -> AttemptOutcome.OK;
      case 5 -> AttemptOutcome.ERROR; // EIO
      case 11 -> AttemptOutcome.REJECTED; // EAGAIN
      case 104 -> AttemptOutcome.RESET; // ECONNRESET
      case 110 -> AttemptOutcome.TIMEOUT; // ETIMEDOUT
      case 111 -> AttemptOutcome.CONNECT_FAILED; // ECONNREFUSED
      case 114 -> AttemptOutcome.NOT_ATTEMPTED; // EALREADY
      case 125 -> AttemptOutcome.CANCELLED; // ECANCELED
      default ->
          throw new MalformedBatchException(event.kind() + " with unknown outcome " + outcomeCode);
    };
  }

  /**
   * Returns the load report in the field {@code Usage}, or null if that field is absent or not an
   * object.
   */
  private static WorkerLoad load(WireObject event) {
    if (!(event.valueOrNull(WireNames.LOAD_REPORT) instanceof Map<?, ?> reportFields)) {
      return null;
    }
    return new WorkerLoad(
        numberOrNaN(reportFields, WireNames.QUEUED_JOBS),
        numberOrNaN(reportFields, WireNames.ACTIVE_JOBS),
        numberOrNaN(reportFields, WireNames.UTILIZATION),
        numberOrNaN(reportFields, WireNames.FREE_SLOTS));
  }

  private static WireEvent endpointList(WireObject event) throws MalformedBatchException {
    long listId = event.integer(WireNames.ENDPOINT_LIST_ID);
    List<?> endpointObjects = event.array(WireNames.ENDPOINTS);
    List<Endpoint> endpoints = new ArrayList<>(endpointObjects.size());
    for (Object endpointObject : endpointObjects) {
      endpoints.add(endpoint(endpointObject));
    }
    return new EndpointListDefined(listId, endpoints);
  }

  private static Endpoint endpoint(Object endpointObject) throws MalformedBatchException {
    if (!(endpointObject instanceof Map<?, ?> fields)
        || !(fields.get(WireNames.WORKER_ID) instanceof String id)
        || !(fields.get(WireNames.STATE) instanceof String stateName)) {
      throw new MalformedBatchException(
          "DefineList: an endpoint lacks the string field Executor or Health");
    }
    double startedAtSeconds = numberOrNaN(fields, WireNames.STARTED_AT_SECONDS);
    double weight = numberOrNaN(fields, WireNames.WEIGHT);
    return new Endpoint(
        id,
        fields.get(WireNames.ZONE) instanceof String zone ? zone : "",
        fields.get(WireNames.WORKER_KIND) instanceof String kind ? kind : "",
        fields.get(WireNames.FAILURE_DOMAIN) instanceof Number failureDomain
            ? failureDomain.intValue()
            : NO_FAILURE_DOMAIN,
        state(stateName),
        Double.isNaN(startedAtSeconds) ? 0 : WireObject.toMicros(startedAtSeconds),
        weight > 0 ? weight : 1);
  }

  private static Endpoint.State state(String stateName) throws MalformedBatchException {
    return switch (stateName) {
      case WireNames.READY -> Endpoint.State.READY;
      case WireNames.DRAINING -> Endpoint.State.DRAINING;
      case WireNames.REMOVED -> Endpoint.State.REMOVED;
      default -> throw new MalformedBatchException("DefineList: unknown Health " + stateName);
    };
  }

  private static double numberOrNaN(Map<?, ?> fields, String name) {
    return fields.get(name) instanceof Number number ? number.doubleValue() : Double.NaN;
  }
}
