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

/** Checks the fields of wire events and turns them into typed {@link WireEvent}s. */
final class WireEventReader {
  /** Bit of {@code Marks}: the request gives its expected work in {@code WeightHintS}. */
  private static final long MARK_EXPECTED_WORK = 1;

  /** Bit of {@code Marks}: the client marked the request as a retry. */
  private static final long MARK_CLIENT_RETRY = 2;

  /** Value of {@code Sort} in {@code UpdateOf}: the job started. */
  private static final long SORT_STARTED = 1;

  /** Value of {@code Sort} in {@code UpdateOf}: the job made progress. */
  private static final long SORT_PROGRESSED = 2;

  private static final int NO_FAILURE_DOMAIN = -1;

  private WireEventReader() {}

  /**
   * Reads one event.
   *
   * @throws MalformedBatchException if its kind is unknown or its fields are not what the kind
   *     needs
   */
  static WireEvent read(WireObject event) throws MalformedBatchException {
    return switch (event.kind()) {
      case WireNames.ENDPOINT_LIST_DEFINED -> endpointList(event);
      case WireNames.DISPATCHER_STARTED ->
          new DispatcherStarted(event.integer(WireNames.SEED), event.object(WireNames.SETTINGS));
      case WireNames.DISPATCHER_STOPPED -> new DispatcherStopped();
      case WireNames.ENDPOINTS_CHANGED -> members(event);
      case WireNames.REQUEST_RECEIVED -> request(event);
      case WireNames.REQUEST_CANCELLED ->
          new RequestCancelledByClient(event.text(WireNames.REQUEST_ID));
      case WireNames.ATTEMPT_STARTED -> progress(event);
      case WireNames.ATTEMPT_UPDATED -> update(event);
      case WireNames.ATTEMPT_COMPLETED -> attemptEnd(event);
      case WireNames.HEALTH_CHECK_COMPLETED -> healthCheck(event);
      case WireNames.TIMER_ELAPSED -> new TimerElapsed(event.integer(WireNames.TIMER_TOKEN));
      case WireNames.COMMENT_RECEIVED -> new Ignored();
      default -> throw new MalformedBatchException("unknown event " + event.kind());
    };
  }

  private static WireEvent members(WireObject event) throws MalformedBatchException {
    String scope = event.text(WireNames.SCOPE);
    return switch (scope) {
      case WireNames.SCOPE_WATCH_LOST -> new EndpointWatchLost();
      case WireNames.SCOPE_UPDATE ->
          new EndpointUpdateReceived(event.integer(WireNames.ENDPOINT_LIST_ID));
      case WireNames.SCOPE_SNAPSHOT, WireNames.SCOPE_CACHED_SNAPSHOT ->
          new EndpointSnapshotReceived(event.integer(WireNames.ENDPOINT_LIST_ID));
      default -> throw new MalformedBatchException("Members of unknown scope " + scope);
    };
  }

  private static WireEvent request(WireObject event) throws MalformedBatchException {
    long marks = (long) event.number(WireNames.MARKS, 0);
    return new RequestReceived(
        event.text(WireNames.REQUEST_ID),
        event.has(WireNames.KEY) ? event.text(WireNames.KEY) : null,
        Math.max(1, event.number(WireNames.SLOTS, 1)),
        event.text(WireNames.REQUEST_CLASS),
        event.optional(WireNames.TENANT) instanceof String tenantName ? tenantName : null,
        event.micros(WireNames.DEADLINE_SECONDS),
        (marks & MARK_CLIENT_RETRY) != 0,
        (marks & MARK_EXPECTED_WORK) != 0
            ? event.number(WireNames.EXPECTED_WORK_SECONDS, Double.NaN)
                * WireObject.MICROS_PER_SECOND
            : Double.NaN);
  }

  private static WireEvent progress(WireObject event) throws MalformedBatchException {
    return new AttemptProgressReported(
        event.text(WireNames.REQUEST_ID), (int) event.integer(WireNames.ATTEMPT_NUMBER));
  }

  private static WireEvent update(WireObject event) throws MalformedBatchException {
    long sort = event.integer(WireNames.UPDATE_SORT);
    return sort == SORT_STARTED || sort == SORT_PROGRESSED ? progress(event) : new Ignored();
  }

  private static WireEvent attemptEnd(WireObject event) throws MalformedBatchException {
    return new AttemptCompleted(
        event.text(WireNames.REQUEST_ID),
        (int) event.integer(WireNames.ATTEMPT_NUMBER),
        event.text(WireNames.WORKER_ID),
        outcome(event),
        Boolean.TRUE.equals(event.optional(WireNames.ANSWERED)),
        event.micros(WireNames.DURATION_SECONDS, 0),
        load(event));
  }

  private static WireEvent healthCheck(WireObject event) throws MalformedBatchException {
    return new HealthCheckCompleted(
        event.text(WireNames.WORKER_ID),
        outcome(event),
        event.micros(WireNames.DURATION_SECONDS, 0),
        load(event));
  }

  /** The outcome from the field {@code How}, which holds 0 or one of Linux's errno values. */
  private static AttemptOutcome outcome(WireObject event) throws MalformedBatchException {
    int code = (int) event.integer(WireNames.OUTCOME);
    return switch (code) {
      case 0 -> AttemptOutcome.OK;
      case 5 -> AttemptOutcome.ERROR; // EIO
      case 11 -> AttemptOutcome.REJECTED; // EAGAIN
      case 104 -> AttemptOutcome.RESET; // ECONNRESET
      case 110 -> AttemptOutcome.TIMEOUT; // ETIMEDOUT
      case 111 -> AttemptOutcome.CONNECT_FAILED; // ECONNREFUSED
      case 114 -> AttemptOutcome.NOT_ATTEMPTED; // EALREADY
      case 125 -> AttemptOutcome.CANCELLED; // ECANCELED
      default -> throw new MalformedBatchException(event.kind() + " with unknown outcome " + code);
    };
  }

  /** The load report in the field {@code Usage}, or null where there is none. */
  private static WorkerLoad load(WireObject event) {
    if (!(event.optional(WireNames.LOAD_REPORT) instanceof Map<?, ?> usage)) {
      return null;
    }
    return new WorkerLoad(
        numberOrNaN(usage, WireNames.QUEUED_JOBS),
        numberOrNaN(usage, WireNames.ACTIVE_JOBS),
        numberOrNaN(usage, WireNames.UTILIZATION),
        numberOrNaN(usage, WireNames.FREE_SLOTS));
  }

  private static WireEvent endpointList(WireObject event) throws MalformedBatchException {
    long listId = event.integer(WireNames.ENDPOINT_LIST_ID);
    List<?> items = event.array(WireNames.ENDPOINTS);
    List<Endpoint> endpoints = new ArrayList<>(items.size());
    for (Object item : items) {
      endpoints.add(endpoint(item));
    }
    return new EndpointListDefined(listId, endpoints);
  }

  private static Endpoint endpoint(Object item) throws MalformedBatchException {
    if (!(item instanceof Map<?, ?> fields)
        || !(fields.get(WireNames.WORKER_ID) instanceof String id)
        || !(fields.get(WireNames.STATE) instanceof String health)) {
      throw new MalformedBatchException("DefineList: an entry without Executor or Health");
    }
    double startedAtSeconds = numberOrNaN(fields, WireNames.STARTED_AT_SECONDS);
    double weight = numberOrNaN(fields, WireNames.WEIGHT);
    return new Endpoint(
        id,
        fields.get(WireNames.ZONE) instanceof String zone ? zone : "",
        fields.get(WireNames.WORKER_KIND) instanceof String kind ? kind : "",
        fields.get(WireNames.FAILURE_DOMAIN) instanceof Number pod
            ? pod.intValue()
            : NO_FAILURE_DOMAIN,
        state(health),
        Double.isNaN(startedAtSeconds) ? 0 : WireObject.toMicros(startedAtSeconds),
        weight > 0 ? weight : 1);
  }

  private static Endpoint.State state(String health) throws MalformedBatchException {
    return switch (health) {
      case WireNames.READY -> Endpoint.State.READY;
      case WireNames.DRAINING -> Endpoint.State.DRAINING;
      case WireNames.REMOVED -> Endpoint.State.REMOVED;
      default -> throw new MalformedBatchException("DefineList: unknown Health " + health);
    };
  }

  private static double numberOrNaN(Map<?, ?> fields, String name) {
    return fields.get(name) instanceof Number number ? number.doubleValue() : Double.NaN;
  }
}
