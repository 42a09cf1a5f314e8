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
  /** The kind that defines an endpoint list; it concerns all dispatchers. */
  static final String DEFINE_LIST = "DefineList";

  /** The kind that starts a dispatcher. */
  static final String UP = "Up";

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
      case DEFINE_LIST -> endpointList(event);
      case UP -> new DispatcherStarted(event.integer("Nonce64"), event.object("Setup"));
      case "Stop" -> new DispatcherStopped();
      case "Members" -> members(event);
      case "Inbound" -> request(event);
      case "Withdrawn" -> new RequestCancelledByClient(event.text("MsgId"));
      case "Started" -> progress(event);
      case "UpdateOf" -> update(event);
      case "ReportBack" -> attemptEnd(event);
      case "StatusBack" -> healthCheck(event);
      case "TickDue" -> new TimerElapsed(event.integer("KeyBack"));
      case "Memo" -> new Ignored();
      default -> throw new MalformedBatchException("unknown event " + event.kind());
    };
  }

  private static WireEvent members(WireObject event) throws MalformedBatchException {
    String scope = event.text("Scope");
    return switch (scope) {
      case "lost" -> new EndpointWatchLost();
      case "incr" -> new EndpointUpdateReceived(event.integer("RosterId"));
      case "total", "warm_copy" -> new EndpointSnapshotReceived(event.integer("RosterId"));
      default -> throw new MalformedBatchException("Members of unknown scope " + scope);
    };
  }

  private static WireEvent request(WireObject event) throws MalformedBatchException {
    long marks = (long) event.number("Marks", 0);
    return new RequestReceived(
        event.text("MsgId"),
        event.has("Resource") ? event.text("Resource") : null,
        Math.max(1, event.number("CoresNeeded", 1)),
        event.text("Type"),
        event.optional("Owner") instanceof String tenantName ? tenantName : null,
        event.micros("DueS"),
        (marks & MARK_CLIENT_RETRY) != 0,
        (marks & MARK_EXPECTED_WORK) != 0
            ? event.number("WeightHintS", Double.NaN) * WireObject.MICROS_PER_SECOND
            : Double.NaN);
  }

  private static WireEvent progress(WireObject event) throws MalformedBatchException {
    return new AttemptProgressReported(event.text("MsgId"), (int) event.integer("Leg"));
  }

  private static WireEvent update(WireObject event) throws MalformedBatchException {
    long sort = event.integer("Sort");
    return sort == SORT_STARTED || sort == SORT_PROGRESSED ? progress(event) : new Ignored();
  }

  private static WireEvent attemptEnd(WireObject event) throws MalformedBatchException {
    return new AttemptCompleted(
        event.text("MsgId"),
        (int) event.integer("Leg"),
        event.text("Executor"),
        outcome(event),
        Boolean.TRUE.equals(event.optional("Finished")),
        event.micros("TookS", 0),
        load(event));
  }

  private static WireEvent healthCheck(WireObject event) throws MalformedBatchException {
    return new HealthCheckCompleted(
        event.text("Executor"), outcome(event), event.micros("TookS", 0), load(event));
  }

  /** The outcome from the field {@code How}, which holds 0 or one of Linux's errno values. */
  private static AttemptOutcome outcome(WireObject event) throws MalformedBatchException {
    int code = (int) event.integer("How");
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
    if (!(event.optional("Usage") instanceof Map<?, ?> usage)) {
      return null;
    }
    return new WorkerLoad(
        numberOrNaN(usage, "depth"),
        numberOrNaN(usage, "concurrent"),
        numberOrNaN(usage, "load_share"),
        numberOrNaN(usage, "x0"));
  }

  private static WireEvent endpointList(WireObject event) throws MalformedBatchException {
    long listId = event.integer("RosterId");
    List<?> items = event.array("Items");
    List<Endpoint> endpoints = new ArrayList<>(items.size());
    for (Object item : items) {
      endpoints.add(endpoint(item));
    }
    return new EndpointListDefined(listId, endpoints);
  }

  private static Endpoint endpoint(Object item) throws MalformedBatchException {
    if (!(item instanceof Map<?, ?> fields)
        || !(fields.get("Executor") instanceof String id)
        || !(fields.get("Health") instanceof String health)) {
      throw new MalformedBatchException("DefineList: an entry without Executor or Health");
    }
    double startedAtSeconds = numberOrNaN(fields, "CameUpS");
    double weight = numberOrNaN(fields, "Scale");
    return new Endpoint(
        id,
        fields.get("Az") instanceof String zone ? zone : "",
        fields.get("Kind") instanceof String kind ? kind : "",
        fields.get("Pod") instanceof Number pod ? pod.intValue() : NO_FAILURE_DOMAIN,
        state(health),
        Double.isNaN(startedAtSeconds) ? 0 : WireObject.toMicros(startedAtSeconds),
        weight > 0 ? weight : 1);
  }

  private static Endpoint.State state(String health) throws MalformedBatchException {
    return switch (health) {
      case "live" -> Endpoint.State.READY;
      case "quiescing" -> Endpoint.State.DRAINING;
      case "dead" -> Endpoint.State.REMOVED;
      default -> throw new MalformedBatchException("DefineList: unknown Health " + health);
    };
  }

  private static double numberOrNaN(Map<?, ?> fields, String name) {
    return fields.get(name) instanceof Number number ? number.doubleValue() : Double.NaN;
  }
}
