package loomreel.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import loomreel.config.EndpointList;
import loomreel.core.Dispatcher;
import loomreel.core.SubchannelPool;
import loomreel.decision.Endpoint;
import loomreel.decision.Settings;
import loomreel.discovery.EndpointWatcher;
import loomreel.discovery.WatchTimeouts;
import loomreel.http.ConnectionPool;
import loomreel.http.DescriptorQuota;
import loomreel.http.IdleTimeoutEstimator;
import loomreel.io.RateLimitedLogger;

/**
 * The workers that are called over HTTP: from discovery, or from a static endpoint list, whose
 * workers an {@link OutlierEjector} removes while they cannot be reached.
 *
 * <p>Used on the event loop's thread only. It owns the subchannels and the endpoint watch.
 */
public final class HttpWorkerPool extends SubchannelPool<HttpSubchannel>
    implements EndpointWatcher.Listener {
  /** After this time an idle connection to discovery is closed. */
  private static final long DISCOVERY_IDLE_TIMEOUT_MICROS = 1_000_000;

  /**
   * Idle connections are closed from this side after this fraction of the time after which the
   * worker closes them.
   */
  private static final double IDLE_TIMEOUT_FRACTION = 0.7;

  private final long connectTimeoutMicros;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.upstream");
  private final RateLimitedLogger peerLog = new RateLimitedLogger("loomreel.http.pool");
  private final DescriptorQuota descriptors = new DescriptorQuota(0);
  private final IdleTimeoutEstimator idleTimeout;
  private final EndpointList initialEndpoints;

  /** The initial endpoint list until discovery has confirmed or updated it; empty from then on. */
  private Optional<EndpointList> unconfirmed = Optional.empty();

  /** Empty where the endpoint list is static. */
  private final Optional<EndpointWatcher> watcher;

  /** Whether lists are pushed to an agent on this machine. */
  private final boolean isPushed;

  private final FirstListBarrier firstListBarrier;

  /** By worker; empty unless the endpoint list is static. */
  private final Map<String, OutlierEjector> outlierEjectors = new HashMap<>();

  /**
   * Creates a pool that has no workers before {@link #start}.
   *
   * @param initialEndpoints the endpoint list as it was last known
   * @param discovery where the list comes from, or null where {@code initialEndpoints} is static
   * @param settings whose rules limit how late a change of the list may be known
   * @param connectTimeoutMicros how long establishing a connection may take, in microseconds
   * @param workerIdleTimeoutMicros after which time a worker closes an idle connection, in
   *     microseconds
   */
  public HttpWorkerPool(
      Dispatcher dispatcher,
      EndpointList initialEndpoints,
      InetSocketAddress discovery,
      Settings settings,
      long connectTimeoutMicros,
      long workerIdleTimeoutMicros) {
    super(dispatcher);
    this.initialEndpoints = initialEndpoints;
    this.connectTimeoutMicros = connectTimeoutMicros;
    isPushed = !settings.pollsEndpoints();
    firstListBarrier =
        new FirstListBarrier(dispatcher.loop(), isPushed ? "discovery agent" : "discovery", log);
    idleTimeout =
        new IdleTimeoutEstimator((long) (workerIdleTimeoutMicros * IDLE_TIMEOUT_FRACTION));
    if (discovery == null) {
      watcher = Optional.empty();
    } else {
      WatchTimeouts timeouts = WatchTimeouts.of(settings.rules(), settings.pollsEndpoints());
      watcher =
          Optional.of(
              new EndpointWatcher(
                  dispatcher.loop(),
                  discoveryConnections(discovery),
                  initialEndpoints.version(),
                  timeouts,
                  this));
    }
  }

  private ConnectionPool discoveryConnections(InetSocketAddress discovery) {
    return new ConnectionPool(
        dispatcher.loop(),
        "discovery",
        discovery,
        new DescriptorQuota(1),
        connectTimeoutMicros,
        new IdleTimeoutEstimator(DISCOVERY_IDLE_TIMEOUT_MICROS),
        peerLog);
  }

  /** Sets how many file descriptors calls to workers may use. */
  public void setCapacity(int maxDescriptors) {
    descriptors.setLimit(maxDescriptors);
  }

  /**
   * Announces the initial endpoint list once discovery has confirmed or updated it: workers of a
   * list of unknown age may have been draining or removed for longer than the grace. Until then
   * there are no workers, and jobs wait. Where discovery is polled, the policy decides when to call
   * it first; an agent is called at once.
   *
   * @param onReady called once, when jobs may be sent by the list that is known then; at once where
   *     the list is static
   */
  public void start(Runnable onReady) {
    if (watcher.isEmpty()) {
      endpointsReceived(initialEndpoints);
      onReady.run();
      return;
    }
    unconfirmed = Optional.of(initialEndpoints);
    firstListBarrier.await(
        () -> {
          announceUnconfirmed();
          onReady.run();
        });
    if (isPushed) {
      watcher.get().watch();
    }
  }

  private void announceUnconfirmed() {
    Optional<EndpointList> initial = unconfirmed;
    unconfirmed = Optional.empty();
    initial.ifPresent(this::announce);
  }

  /** Watches discovery at another address from now on; does nothing if the list is static. */
  public void moveDiscovery(InetSocketAddress address) {
    watcher.ifPresent(endpointWatcher -> endpointWatcher.moveTo(address));
  }

  @Override
  public void pollEndpoints() {
    watcher.ifPresent(EndpointWatcher::watch);
  }

  @Override
  public void runPeriodicTasks() {
    subchannels.values().forEach(HttpSubchannel::closeStale);
    outlierEjectors.forEach(
        (id, ejector) -> {
          if (ejector.takeDueProbe()) {
            subchannels.get(id).checkReachability();
          }
        });
  }

  @Override
  public void watchFailed() {
    firstListBarrier.callFailed();
    dispatcher.watchFailed();
  }

  @Override
  public void endpointsReceived(EndpointList result) {
    EndpointList next = unconfirmed.map(initial -> initial.updatedBy(result)).orElse(result);
    unconfirmed = Optional.empty();
    announce(next);
    firstListBarrier.release();
  }

  private void announce(EndpointList list) {
    Map<String, HttpSubchannel> missing = new HashMap<>(subchannels);
    for (Endpoint endpoint : list.endpoints()) {
      missing.remove(endpoint.id());
      updateSubchannel(endpoint, list.addresses().get(endpoint.id()));
    }
    if (list.complete()) {
      new ArrayList<>(missing.keySet()).forEach(this::retire);
    }
    dispatcher.endpointsChanged(this, list.complete(), list.endpoints());
    list.endpoints().stream()
        .filter(endpoint -> endpoint.state() != Endpoint.State.READY)
        .forEach(endpoint -> dispatcher.abortUnsentAttempts(endpoint.id()));
    if (list.complete()) {
      missing.keySet().forEach(dispatcher::abortUnsentAttempts);
    }
  }

  @Override
  public void endpointsUnchanged() {
    firstListBarrier.release();
  }

  private void updateSubchannel(Endpoint endpoint, InetSocketAddress address) {
    if (endpoint.state() == Endpoint.State.REMOVED) {
      retire(endpoint.id());
    } else {
      subchannels
          .computeIfAbsent(endpoint.id(), id -> createSubchannel(endpoint, address))
          .update(address, endpoint);
    }
  }

  private HttpSubchannel createSubchannel(Endpoint endpoint, InetSocketAddress address) {
    ConnectionPool connections =
        new ConnectionPool(
            dispatcher.loop(),
            endpoint.id(),
            address,
            descriptors,
            connectTimeoutMicros,
            idleTimeout,
            peerLog);
    return new HttpSubchannel(
        dispatcher, endpoint, connections, log, reachabilityListener(endpoint.id()));
  }

  private void retire(String id) {
    HttpSubchannel retired = subchannels.remove(id);
    if (retired != null) {
      retired.retire();
    }
  }

  private ReachabilityListener reachabilityListener(String id) {
    if (watcher.isPresent()) {
      return ReachabilityListener.NONE;
    }
    OutlierEjector ejector = new OutlierEjector(this, id, dispatcher.loop(), log);
    outlierEjectors.put(id, ejector);
    return ejector;
  }

  /** The latest entry of a worker that the pool has. */
  Endpoint endpoint(String id) {
    return subchannels.get(id).endpoint();
  }

  /** Replaces the entry of a worker of a static endpoint list. */
  void replace(Endpoint endpoint) {
    InetSocketAddress address = initialEndpoints.addresses().get(endpoint.id());
    subchannels.get(endpoint.id()).update(address, endpoint);
    publish(endpoint);
  }
}
