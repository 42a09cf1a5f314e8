package loomreel.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import loomreel.config.ServeConfig;
import loomreel.core.Dispatcher;
import loomreel.core.Ingress;
import loomreel.faktory.FaktoryIngress;
import loomreel.ingress.HttpIngress;
import loomreel.io.BufferPool;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;
import loomreel.io.TraceWriter;
import loomreel.process.AdminOperations;
import loomreel.process.Lifecycle;
import loomreel.settings.FaktorySettings;
import loomreel.upstream.HttpWorkerPool;
import loomreel.upstream.JobStatusUpdate;

/**
 * One dispatcher process: creates the event loop and the parts that run on it, connects them, and
 * owns them until the process ends. Each of the parts does its own work; nothing is decided here.
 */
public final class Server implements AdminOperations, HttpIngress.AdmissionGate, Lifecycle.Host {
  /** The fraction of the memory that buffers may take. */
  private static final int MEMORY_PER_BUFFER_MEMORY = 16;

  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.server");
  private final ServeConfig config;
  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final HttpWorkerPool workers;
  private final ServerSocketChannel listener;
  private final Lifecycle lifecycle;
  private final HttpIngress http;

  /** Empty where it is not configured: its classes stay unloaded then. */
  private final Optional<FaktoryIngress> faktory;

  private final List<Ingress> ingresses = new ArrayList<>(2);
  private final int faktoryDescriptors;
  private final GracefulShutdown shutdown;
  private final ConfigReloader configReloader;

  /**
   * Opens the ports.
   *
   * @param faktorySettings null for none
   * @param trace null for none
   * @throws IOException if a port cannot be opened
   */
  public Server(ServeConfig config, FaktorySettings faktorySettings, TraceWriter trace)
      throws IOException {
    this.config = config;
    loop = new EventLoop(bufferPool(config), trace);
    dispatcher = new Dispatcher(loop, config.settings(), config.seed(), config.answerSlackMicros());
    workers = workerPool(config, dispatcher);
    dispatcher.addWorkerPool(workers);
    listener = ClientListener.open(config);
    // Before anything is accepted: the first callback may be meant for the other process.
    lifecycle = new Lifecycle(dispatcher, sharedFiles(config), config.listenerInherited(), this);
    http = new HttpIngress(dispatcher, config.settings(), listener, this);
    ingresses.add(http);
    faktory = faktoryIngress(faktorySettings);
    faktoryDescriptors = faktorySettings == null ? 0 : faktorySettings.maxConnections();
    shutdown =
        new GracefulShutdown(
            dispatcher, lifecycle, http, faktory, config.settings(), config.shutdownLimitMicros());
    configReloader = new ConfigReloader(dispatcher, workers, config);
    shareDescriptors(lifecycle.isShared());
    log.info(
        "listening for clients address="
            + listener.getLocalAddress()
            + " name="
            + config.name()
            + " workers="
            + config.initialEndpoints().endpoints().size());
  }

  private static BufferPool bufferPool(ServeConfig config) {
    return new BufferPool(
        (int) (config.memoryBytes() / MEMORY_PER_BUFFER_MEMORY / BufferPool.SIZE));
  }

  private static HttpWorkerPool workerPool(ServeConfig config, Dispatcher dispatcher) {
    return new HttpWorkerPool(
        dispatcher,
        config.initialEndpoints(),
        config.discoveryAddress(),
        config.settings(),
        config.connectTimeoutMicros(),
        config.idleTimeoutMicros());
  }

  /**
   * The path, without its ending, of the files that the processes of this dispatcher share; null
   * where there is no directory for them.
   */
  private static Path sharedFiles(ServeConfig config) {
    return config.stateDirectory() == null
        ? null
        : config.stateDirectory().resolve(config.name().replaceAll("[^A-Za-z0-9_-]", "_"));
  }

  private Optional<FaktoryIngress> faktoryIngress(FaktorySettings settings) throws IOException {
    if (settings == null) {
      return Optional.empty();
    }
    FaktoryIngress ingress =
        new FaktoryIngress(dispatcher, settings, config.settings(), config.seed());
    ingresses.add(ingress);
    dispatcher.addWorkerPool(ingress.workers());
    return Optional.of(ingress);
  }

  @Override
  public void shareDescriptors(boolean shared) {
    DescriptorBudget budget =
        DescriptorBudget.divide(config.descriptorLimit(), faktoryDescriptors, shared);
    workers.setCapacity(budget.upstreamConnections());
    dispatcher.setCapacity(budget.jobs());
    if (faktory.isPresent()) {
      // No lambda: linking it would load the class also where Faktory is off.
      faktory.get().setCapacity(budget.jobs());
    }
    http.setCapacity(budget.clientConnections(), budget.granted());
  }

  /**
   * The port at which clients and callbacks are accepted.
   *
   * @throws IOException if the listener is closed
   */
  public int port() throws IOException {
    return ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  /** The event loop on which all parts run. */
  public EventLoop loop() {
    return loop;
  }

  /** Applies configurations that are read again. */
  public ConfigReloader configReloader() {
    return configReloader;
  }

  /**
   * Serves until a shutdown is complete.
   *
   * @throws IOException if the selector fails
   */
  public void run() throws IOException {
    // On the loop, whose clock has not moved since it was made: timers set from here on would
    // otherwise be late at once.
    loop.execute(this::start);
    logSummary();
    loop.run();
    ingresses.forEach(Ingress::close);
    log.info("stopped; " + dispatcher.summary() + "; " + ingressSummary());
  }

  private void start() {
    dispatcher.start(lifecycle.disabledWorkers());
    workers.start(this::openToClients);
    dispatcher.startPeriodicTasks();
    lifecycle.dispatcherStarted();
  }

  private void openToClients() {
    shutdown.endpointsKnown();
    http.open();
  }

  private void logSummary() {
    log.info(ingressSummary());
    loop.schedule(loop.now() + Dispatcher.METRICS_LOG_INTERVAL_MICROS, this::logSummary);
  }

  private String ingressSummary() {
    return ingresses.stream().map(Ingress::summary).collect(Collectors.joining("; "));
  }

  /** Begins a graceful shutdown, after which {@link #run} returns. Any thread may call this. */
  public void shutDown() {
    loop.execute(shutdown::request);
  }

  // What operators may ask and set.

  @Override
  public boolean isReady() {
    return shutdown.state().isReady();
  }

  @Override
  public Map<String, Object> metrics() {
    return dispatcher.metricsSnapshot().toJsonFields();
  }

  @Override
  public boolean setWorkerDisabled(String id, boolean disabled) throws IOException {
    return lifecycle.setWorkerDisabled(id, disabled);
  }

  @Override
  public void setClientDrain(boolean draining) throws IOException {
    lifecycle.setClientDrain(draining);
  }

  // What the state of the process means for those who connect.

  @Override
  public boolean acceptsClients() {
    return !lifecycle.isDrainingClients();
  }

  @Override
  public boolean acceptsJobs() {
    return !lifecycle.isRejectingJobs();
  }

  @Override
  public boolean isClosing() {
    return shutdown.state().isClosing();
  }

  /** Workers keep their connections during a client drain. */
  @Override
  public boolean isFinalResponse(boolean bringsCallbacks) {
    return isClosing() || (lifecycle.isDrainingClients() && !bringsCallbacks);
  }

  @Override
  public void forwardStatusUpdate(byte[] callback, Runnable handled) {
    lifecycle.forwardCallback(callback, handled);
  }

  // What the other process of a hot restart, and operators, make this one do.

  @Override
  public void closeIdleClients() {
    http.closeIdleClients();
  }

  @Override
  public boolean deliverCallback(byte[] callback) {
    Optional<JobStatusUpdate> update =
        JobStatusUpdate.parse(callback).filter(parsed -> dispatcher.isActive(parsed.callId()));
    update.ifPresent(active -> active.applyTo(dispatcher));
    return update.isPresent();
  }
}
