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
 * Translates the wire events of one dispatcher into events of the decision module. The module
 * identifies classes and tenants by their positions in that dispatcher's settings.
 */
final class EventTranslator {
  /** The position that stands for a tenant that the settings do not name. */
  private static final int UNKNOWN_TENANT = -1;

  private final Map<Long, List<Endpoint>> endpointLists;
  private final Map<String, Integer> classIndexes = new HashMap<>();
  private final Map<String, Integer> tenantIndexes = new HashMap<>();

  /**
   * Creates the translator of a dispatcher that is about to start.
   *
   * @param endpointLists the lists defined so far, by number; the adapter owns and fills it
   */
  EventTranslator(Map<Long, List<Endpoint>> endpointLists) {
    this.endpointLists = endpointLists;
  }

  /**
   * Translates one event.
   *
   * @return empty where the event carries nothing for the policy
   * @throws MalformedBatchException if it names a class or an endpoint list that was never defined
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
    } else if (event instanceof WireEvent.RequestCancelledByClient withdrawal) {
      return Optional.of(new Event.RequestCancelled(withdrawal.requestId()));
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
      classIndexes.put(requestClass.name(), classIndexes.size());
    }
    for (Settings.Tenant tenant : settings.tenants()) {
      tenantIndexes.put(tenant.name(), tenantIndexes.size());
    }
    return new Event.Start(event.seed(), settings);
  }

  private Event arrival(WireEvent.RequestReceived request) throws MalformedBatchException {
    Integer classIndex = classIndexes.get(request.className());
    if (classIndex == null) {
      throw new MalformedBatchException("Inbound of unknown class " + request.className());
    }
    return new Event.RequestArrived(
        request.requestId(),
        request.key(),
        request.slots(),
        classIndex,
        tenantIndexes.getOrDefault(request.tenantName(), UNKNOWN_TENANT),
        request.deadline(),
        request.clientRetry(),
        request.expectedWork());
  }

  private static Event attemptEnd(WireEvent.AttemptCompleted attempt) {
    return new Event.AttemptEnded(
        attempt.requestId(),
        attempt.attemptNumber(),
        attempt.workerId(),
        attempt.outcome(),
        attempt.answered(),
        attempt.duration(),
        attempt.load());
  }

  private static Event healthCheck(WireEvent.HealthCheckCompleted check) {
    return new Event.HealthChecked(
        check.workerId(), check.outcome(), check.duration(), check.load());
  }

  private List<Endpoint> endpoints(long listId) throws MalformedBatchException {
    List<Endpoint> endpoints = endpointLists.get(listId);
    if (endpoints == null) {
      throw new MalformedBatchException("Members names a list that was never defined");
    }
    return endpoints;
  }
}
