package loomreel.core;

import loomreel.decision.Action;
import loomreel.decision.Endpoint;
import loomreel.decision.Event;
import loomreel.decision.WorkerLoad;
import loomreel.io.TraceWriter;

/**
 * Writes the events and actions of the policy as trace lines. The names in the lines belong to a
 * stored format that {@code loomreel tally} reads. These names differ from the names of the Java
 * types and must not change when a Java type is renamed.
 */
final class PolicyTracer {
  private PolicyTracer() {}

  /** Writes the trace lines of an event. Events of some types have no trace lines. */
  static void event(TraceWriter trace, long now, Event event) {
    if (event instanceof Event.RequestArrived arrival) {
      requestArrived(trace, now, arrival);
    } else if (event instanceof Event.AttemptEnded end) {
      attemptEnded(trace, now, end);
    } else if (event instanceof Event.HealthChecked check) {
      healthChecked(trace, now, check);
    } else if (event instanceof Event.RequestCancelled cancelled) {
      trace.line(now, "withdrawn", "id", cancelled.requestId());
    } else if (event instanceof Event.EndpointSnapshot snapshot) {
      endpoints(trace, now, "list", snapshot.endpoints());
    } else if (event instanceof Event.EndpointUpdate update) {
      endpoints(trace, now, "changes", update.endpoints());
    } else if (event instanceof Event.WatchFailed) {
      trace.line(now, "listlost");
    } else if (event instanceof Event.Start) {
      trace.line(now, "start");
    }
  }

  private static void requestArrived(TraceWriter trace, long now, Event.RequestArrived arrival) {
    trace.line(
        now,
        "arrival",
        "id",
        arrival.requestId(),
        "class",
        arrival.classIndex(),
        "tenant",
        arrival.tenantIndex(),
        "key",
        arrival.key(),
        "slots",
        arrival.slots(),
        "work",
        arrival.expectedWork(),
        "left",
        arrival.deadline() - now);
  }

  private static void attemptEnded(TraceWriter trace, long now, Event.AttemptEnded end) {
    trace.line(
        now,
        "end",
        "id",
        end.requestId(),
        "attempt",
        end.attemptNumber(),
        "worker",
        end.workerId(),
        "outcome",
        ExternalNames.of(end.outcome()),
        "took",
        end.duration(),
        "answered",
        end.answered());
  }

  private static void healthChecked(TraceWriter trace, long now, Event.HealthChecked check) {
    WorkerLoad load = check.load();
    trace.line(
        now,
        "probed",
        "worker",
        check.workerId(),
        "outcome",
        ExternalNames.of(check.outcome()),
        "took",
        check.duration(),
        "free",
        load == null ? null : load.freeSlots(),
        "waiting",
        load == null ? null : load.queuedJobs(),
        "held",
        load == null ? null : load.activeJobs());
  }

  /**
   * Writes a line for each endpoint whose start time is known, and a line with the number of
   * endpoints in each state.
   */
  private static void endpoints(
      TraceWriter trace, long now, String name, Iterable<Endpoint> endpoints) {
    int ready = 0;
    int draining = 0;
    int removed = 0;
    for (Endpoint endpoint : endpoints) {
      ready += endpoint.state() == Endpoint.State.READY ? 1 : 0;
      draining += endpoint.state() == Endpoint.State.DRAINING ? 1 : 0;
      removed += endpoint.state() == Endpoint.State.REMOVED ? 1 : 0;
      if (endpoint.startedAt() > 0) {
        endpointStarted(trace, now, endpoint);
      }
    }
    trace.line(now, name, "ready", ready, "draining", draining, "gone", removed);
  }

  private static void endpointStarted(TraceWriter trace, long now, Endpoint endpoint) {
    trace.line(
        now,
        "born",
        "worker",
        endpoint.id(),
        "state",
        ExternalNames.of(endpoint.state()),
        "kind",
        endpoint.kind(),
        "born",
        endpoint.startedAt());
  }

  /** Writes the trace line of an action. Actions of some types have no trace line. */
  static void action(TraceWriter trace, long now, Action action) {
    if (action instanceof Action.StartAttempt start) {
      trace.line(now, "send", "id", start.requestId(), "worker", start.workerId());
    } else if (action instanceof Action.CancelAttempt cancel) {
      trace.line(now, "cancel", "id", cancel.requestId(), "attempt", cancel.attemptNumber());
    } else if (action instanceof Action.Reject reject) {
      trace.line(now, "refuse", "id", reject.requestId(), "why", ExternalNames.of(reject.reason()));
    } else if (action instanceof Action.Fail fail) {
      trace.line(now, "fail", "id", fail.requestId(), "why", ExternalNames.of(fail.reason()));
    } else if (action instanceof Action.CheckHealth check) {
      trace.line(now, "probe", "worker", check.workerId());
    } else if (action instanceof Action.PollEndpoints) {
      trace.line(now, "subscribe");
    }
  }
}
