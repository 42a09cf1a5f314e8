package loomreel.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loomreel.config.SettingsReader;
import loomreel.decision.Endpoint;
import loomreel.decision.Event;
import loomreel.decision.Settings;

/**
 * Translates the wire events of one dispatcher into events of the decision module. Wire events name
 * request classes and tenants; the decision module identifies them by their index in the settings
 * of the dispatcher.
 */
final class EventTranslator {
  /**
   * The tenant index of a request that names no tenant, or a tenant that the settings do not
   * contain.
   */
  private static final int UNKNOWN_TENANT = -1;

  private final Map<Long, List<Endpoint>> endpointListsById;
  private final Map<String, Integer> classIndexByName = new HashMap<>();
  private final Map<String, Integer> tenantIndexByName = new HashMap<>();

  /**
   * Creates a translator for a dispatcher that is about to start.
   *
   * @param endpointListsById the endpoint lists that are defined, by id; the caller owns the map
   *     and may add lists to the map later
   */
  EventTranslator(Map<Long, List<Endpoint>> endpointListsById) {
    this.endpointListsById = endpointListsById;
  }

  /**
   * Translates one event. When the start of the dispatcher is translated, the translator registers
   * the request classes and tenants of the settings. So the start must be translated before any
   * event that names a request class or a tenant.
   *
   * @return the event for the policy, or empty if the wire event has no meaning for the policy
   * @throws MalformedBatchException if the event names an unknown request class or an endpoint list
   *     that is not defined
   */
  Optional<Event> translate(WireEvent event) throws MalformedBatchException {
    if (event instanceof WireEvent.RequestReceived request) {
      return Optional.of(arrival(request));
    } else if (event instanceof WireEvent.AttemptCompleted attempt) {
      return Optional.of(attemptEnd(attempt));
    } else if (event instanceof WireEvent.AttemptProgressReported progress) {
      return Optional.of(
          new Event.AttemptProgressed(progress.requestId(), progress.attemptNumber()));
    } else if (event instanceof WireEvent.TimerElapsed timer) {
      return Optional.of(new Event.TimerFired(timer.token()));
    } else if (event instanceof WireEvent.RequestCancelledByClient cancellation) {
      return Optional.of(new Event.RequestCancelled(cancellation.requestId()));
    } else if (event instanceof WireEvent.HealthCheckCompleted check) {
      return Optional.of(healthCheck(check));
    } else if (event instanceof WireEvent.EndpointSnapshotReceived snapshot) {
      return Optional.of(new Event.EndpointSnapshot(endpoints(snapshot.listId())));
    } else if (event instanceof WireEvent.EndpointUpdateReceived update) {
      return Optional.of(new Event.EndpointUpdate(endpoints(update.listId())));
    } else if (event instanceof WireEvent.EndpointWatchLost) {
      return Optional.of(new Event.WatchFailed());
    } else if (event instanceof WireEvent.DispatcherStarted start) {
      return Optional.of(start(start));
    } else if (event instanceof WireEvent.DispatcherStopped) {
      return Optional.of(new Event.Stop());
    }
    return Optional.empty();
  }

  private Event start(WireEvent.DispatcherStarted event) {
    Settings settings = new SettingsReader(event.settings()).read();
    for (Settings.RequestClass requestClass : settings.classes()) {
      classIndexByName.put(requestClass.name(), classIndexByName.size());
    }
    for (Settings.Tenant tenant : settings.tenants()) {
      tenantIndexByName.put(tenant.name(), tenantIndexByName.size());
    }
    return new Event.Start(event.seed(), settings);
  }

  private Event arrival(WireEvent.RequestReceived request) throws MalformedBatchException {
    Integer classIndex = classIndexByName.get(request.className());
    if (classIndex == null) {
      throw new MalformedBatchException(
          "Inbound names the unknown request class " + request.className());
    }
    return new Event.RequestArrived(
        request.requestId(),
        request.key(),
        request.slots(),
        classIndex,
        tenantIndexByName.getOrDefault(request.tenantName(), UNKNOWN_TENANT),
        request.deadlineMicros(),
        request.clientRetry(),
        request.expectedWorkMicros());
  }

  private static Event attemptEnd(WireEvent.AttemptCompleted attempt) {
    return new Event.AttemptEnded(
        attempt.requestId(),
        attempt.attemptNumber(),
        attempt.workerId(),
        attempt.outcome(),
        attempt.answered(),
        attempt.durationMicros(),
        attempt.load());
  }

  private static Event healthCheck(WireEvent.HealthCheckCompleted check) {
    return new Event.HealthChecked(
        check.workerId(), check.outcome(), check.durationMicros(), check.load());
  }

  private List<Endpoint> endpoints(long listId) throws MalformedBatchException {
    List<Endpoint> endpoints = endpointListsById.get(listId);
    if (endpoints == null) {
      throw new MalformedBatchException("Members names an endpoint list that is not defined");
    }
    return endpoints;
  }
}
