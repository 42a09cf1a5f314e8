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
 * The workers that are called over HTTP. The endpoint list comes from discovery or is static. Each
 * worker of a static list has an {@link OutlierEjector}, which reports the worker as removed while
 * the worker cannot be reached.
 *
 * <p>Owns the subchannels and the endpoint watch. Not thread-safe: used on the event loop's thread
 * only.
 */
public final class HttpWorkerPool extends SubchannelPool<HttpSubchannel>
    implements EndpointWatcher.Listener {
  /** The idle time after which a connection to discovery is closed, in microseconds. */
  private static final long DISCOVERY_IDLE_TIMEOUT_MICROS = 1_000_000;

  /**
   * The idle timeout of connections to workers, as a fraction of the time after which the worker
   * itself closes an idle connection.
   */
  private static final double IDLE_TIMEOUT_FRACTION = 0.7;

  private final long connectTimeoutMicros;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.upstream");
  private final RateLimitedLogger connectionLog = new RateLimitedLogger("loomreel.http.pool");
  private final DescriptorQuota descriptorQuota = new DescriptorQuota(0);
  private final IdleTimeoutEstimator idleTimeout;
  private final EndpointList initialEndpoints;

  /**
   * The initial endpoint list while it has not been applied, because discovery has neither
   * confirmed nor updated it; empty otherwise.
   */
  private Optional<EndpointList> unconfirmedEndpoints = Optional.empty();

  /** The endpoint watch; empty if the endpoint list is static. */
  private final Optional<EndpointWatcher> watcher;

  /**
   * Whether endpoint lists are pushed to an agent on this machine. If so, the agent is watched
   * instead of discovery.
   */
  private final boolean isPushed;

  private final FirstListBarrier firstListBarrier;

  /** The outlier ejectors by worker id; empty unless the endpoint list is static. */
  private final Map<String, OutlierEjector> outlierEjectors = new HashMap<>();

  /**
   * Creates a pool that has no workers before {@link #start}.
   *
   * @param initialEndpoints the static endpoint list, or the last known list of discovery
   * @param discovery the address of discovery or of the agent, or null if {@code initialEndpoints}
   *     is static
   * @param settings the settings, which state whether lists are polled or pushed; their rules limit
   *     the time within which a change of the endpoint list must be known
   * @param connectTimeoutMicros the maximum time for establishing a connection, in microseconds
   * @param workerIdleTimeoutMicros the time after which a worker closes an idle connection, in
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
        connectionLog);
  }

  /** Sets the maximum number of file descriptors that connections to workers may use. */
  public void setCapacity(int maxDescriptors) {
    descriptorQuota.setLimit(maxDescriptors);
  }

  /**
   * Starts the pool. A static endpoint list is applied at once. Otherwise the initial list is
   * applied when discovery has confirmed or updated it, or when {@link FirstListBarrier} stops
   * waiting for discovery. Until a list is applied, the pool has no workers and jobs wait.
   *
   * <p>The initial list of discovery is not applied at once, because its age is unknown: its
   * workers may have been draining or removed for longer than the drain grace, {@link
   * Settings.Rules#drainGrace}, during which jobs may still be sent to them.
   *
   * <p>If lists are pushed to an agent, the agent is called at once. If discovery is polled, the
   * policy decides when the first call is made.
   *
   * @param onReady called once, when jobs may be sent to the workers of the pool; if the endpoint
   *     list is static, called before this method returns
   */
  public void start(Runnable onReady) {
    if (watcher.isEmpty()) {
      endpointsReceived(initialEndpoints);
      onReady.run();
      return;
    }
    unconfirmedEndpoints = Optional.of(initialEndpoints);
    firstListBarrier.await(
        () -> {
          applyUnconfirmedEndpoints();
          onReady.run();
        });
    if (isPushed) {
      watcher.get().watch();
    }
  }

  /** Applies the initial endpoint list if no endpoint list has been applied yet. */
  private void applyUnconfirmedEndpoints() {
    Optional<EndpointList> initial = unconfirmedEndpoints;
    unconfirmedEndpoints = Optional.empty();
    initial.ifPresent(this::applyEndpointList);
  }

  /**
   * Watches discovery at another address from now on. Does nothing if the endpoint list is static.
   */
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
          if (ejector.startProbeIfDue()) {
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
    EndpointList updatedList =
        unconfirmedEndpoints.map(initial -> initial.updatedBy(result)).orElse(result);
    unconfirmedEndpoints = Optional.empty();
    applyEndpointList(updatedList);
    firstListBarrier.callSucceeded();
  }

  /**
   * Applies an endpoint list: updates the subchannels, then reports the endpoints to the
   * dispatcher, and then calls {@link Dispatcher#abortUnsentAttempts} for each worker that accepts
   * no new jobs.
   */
  private void applyEndpointList(EndpointList list) {
    Map<String, HttpSubchannel> missingSubchannels = new HashMap<>(subchannels);
    for (Endpoint endpoint : list.endpoints()) {
      missingSubchannels.remove(endpoint.id());
      updateSubchannel(endpoint, list.addresses().get(endpoint.id()));
    }
    if (list.complete()) {
      new ArrayList<>(missingSubchannels.keySet()).forEach(this::retire);
    }
    dispatcher.endpointsChanged(this, list.complete(), list.endpoints());
    list.endpoints().stream()
        .filter(endpoint -> endpoint.state() != Endpoint.State.READY)
        .forEach(endpoint -> dispatcher.abortUnsentAttempts(endpoint.id()));
    if (list.complete()) {
      missingSubchannels.keySet().forEach(dispatcher::abortUnsentAttempts);
    }
  }

  @Override
  public void endpointsUnchanged() {
    firstListBarrier.callSucceeded();
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
            descriptorQuota,
            connectTimeoutMicros,
            idleTimeout,
            connectionLog);
    return new HttpSubchannel(
        dispatcher, endpoint, connections, log, createReachabilityListener(endpoint.id()));
  }

  private void retire(String id) {
    HttpSubchannel retired = subchannels.remove(id);
    if (retired != null) {
      retired.retire();
    }
  }

  /**
   * Creates the reachability listener of a worker. If the endpoint list is static, the listener is
   * an {@link OutlierEjector}, which is also added to {@link #outlierEjectors}.
   */
  private ReachabilityListener createReachabilityListener(String id) {
    if (watcher.isPresent()) {
      return ReachabilityListener.NONE;
    }
    OutlierEjector ejector = new OutlierEjector(this, id, dispatcher.loop(), log);
    outlierEjectors.put(id, ejector);
    return ejector;
  }

  /** Returns the latest entry of the endpoint list for a worker that this pool lists. */
  Endpoint endpoint(String id) {
    return subchannels.get(id).endpoint();
  }

  /**
   * Replaces the entry of one worker of a static endpoint list, and reports the new entry to the
   * dispatcher.
   */
  void replaceEndpoint(Endpoint endpoint) {
    InetSocketAddress address = initialEndpoints.addresses().get(endpoint.id());
    subchannels.get(endpoint.id()).update(address, endpoint);
    publish(endpoint);
  }
}
