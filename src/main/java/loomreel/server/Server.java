package loomreel.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
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
import loomreel.process.ClientDrain;
import loomreel.process.HotRestart;
import loomreel.process.HotRestartCoordinator;
import loomreel.process.OperatorControls;
import loomreel.process.OperatorOverrides;
import loomreel.process.OperatorOverridesStore;
import loomreel.process.SharedFiles;
import loomreel.settings.FaktorySettings;
import loomreel.upstream.HttpWorkerPool;

/**
 * One dispatcher process: creates the event loop and the parts that run on it, connects them, and
 * owns them until the process ends. Each of the parts does its own work; nothing is decided here.
 */
public final class Server {
  /** Buffers may take the memory divided by this. */
  private static final int MEMORY_PER_BUFFER_MEMORY = 16;

  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.server");
  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final HttpWorkerPool workers;
  private final ServerSocketChannel listener;
  private final HotRestart hotRestart;
  private final HttpIngress http;
  private final List<Ingress> ingresses;
  private final OperatorControls operatorControls;
  private final GracefulShutdown shutdown;
  private final ConfigReloader configReloader;
  private final AdminOperations adminOperations;
  private final IngressSummaryLogger ingressSummary;

  /**
   * Opens the ports.
   *
   * @param faktorySettings empty where Faktory is off
   * @param trace empty where events are not traced
   * @throws IOException if a port cannot be opened
   */
  public Server(
      ServeConfig config, Optional<FaktorySettings> faktorySettings, Optional<TraceWriter> trace)
      throws IOException {
    loop = new EventLoop(bufferPool(config), trace);
    dispatcher = new Dispatcher(loop, config.settings(), config.seed(), config.answerGraceMicros());
    workers = workerPool(config, dispatcher);
    dispatcher.addWorkerPool(workers);
    listener = ClientListener.open(config);

    SharedFiles files = sharedFiles(config);
    // Before anything is accepted: the first callback may be meant for the other process.
    hotRestart = HotRestart.connect(dispatcher, hotRestartPort(config, files));
    // Read once the link is up, over which the predecessor sends all later changes.
    OperatorOverridesStore store = new OperatorOverridesStore(files.operatorOverrides());
    OperatorOverrides overrides = store.loadOrNone();

    ServerStateMachine lifecycle = new ServerStateMachine();
    ClientDrain clientDrain = new ClientDrain(overrides);
    http =
        new HttpIngress(
            dispatcher,
            config.settings(),
            listener,
            new ServerAdmissionGate(lifecycle, clientDrain, hotRestart));
    Optional<FaktoryIngress> faktory = faktoryIngress(faktorySettings, config, dispatcher);
    ingresses = ingresses(http, faktory);
    operatorControls =
        new OperatorControls(
            dispatcher, store, overrides, clientDrain, hotRestart, http::closeIdleClients);
    shutdown = new GracefulShutdown(dispatcher, lifecycle, hotRestart, http, faktory, config);
    configReloader = new ConfigReloader(dispatcher, workers, config);
    adminOperations = new ServerAdminOperations(dispatcher, lifecycle, operatorControls);
    ingressSummary = new IngressSummaryLogger(loop, ingresses, log);
    DescriptorAllocator descriptors =
        new DescriptorAllocator(
            config.descriptorLimit(),
            reservedDescriptors(faktorySettings),
            workers,
            dispatcher,
            faktory,
            http);
    HotRestartCoordinator.attach(
        hotRestart, operatorControls, new HotRestartHost(dispatcher, descriptors, http));
    descriptors.allocate(hotRestart.isShared());
    logListening(config);
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

  private static SharedFiles sharedFiles(ServeConfig config) {
    return new SharedFiles(Optional.ofNullable(config.stateDirectory()), config.name());
  }

  /** Empty where hot restart is disabled: without a passed listener no successor can accept. */
  private static Optional<Path> hotRestartPort(ServeConfig config, SharedFiles files) {
    return config.listenerInherited() ? files.hotRestartPort() : Optional.empty();
  }

  private static Optional<FaktoryIngress> faktoryIngress(
      Optional<FaktorySettings> settings, ServeConfig config, Dispatcher dispatcher)
      throws IOException {
    if (settings.isEmpty()) {
      return Optional.empty();
    }
    FaktoryIngress ingress =
        new FaktoryIngress(dispatcher, settings.get(), config.settings(), config.seed());
    dispatcher.addWorkerPool(ingress.workers());
    return Optional.of(ingress);
  }

  private static List<Ingress> ingresses(HttpIngress http, Optional<FaktoryIngress> faktory) {
    // No lambda on Faktory's type: linking it would load the class also where Faktory is off.
    return faktory.isPresent() ? List.of(http, faktory.get()) : List.of(http);
  }

  /** The file descriptors that HTTP cannot use. */
  private static int reservedDescriptors(Optional<FaktorySettings> faktorySettings) {
    return faktorySettings.isPresent() ? faktorySettings.get().maxConnections() : 0;
  }

  private void logListening(ServeConfig config) throws IOException {
    log.info(
        "listening for clients address="
            + listener.getLocalAddress()
            + " name="
            + config.name()
            + " workers="
            + config.initialEndpoints().endpoints().size());
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

  /** Carries out the requests of operators. */
  public AdminOperations adminOperations() {
    return adminOperations;
  }

  /**
   * Serves until a shutdown is complete.
   *
   * @throws IOException if the selector fails
   */
  public void run() throws IOException {
    // On the loop, whose clock has not advanced since it was created: timers set from here on would
    // otherwise be overdue at once.
    loop.execute(this::start);
    ingressSummary.start();
    loop.run();
    ingresses.forEach(Ingress::close);
    log.info("stopped; " + dispatcher.summary() + "; " + ingressSummary.summary());
  }

  private void start() {
    dispatcher.start(operatorControls.disabledWorkers());
    workers.start(this::endpointsKnown);
    // A predecessor accepts clients until this process has its endpoint list. Without one, clients
    // that do not wait for this process to be ready would get no answer at all.
    if (!hotRestart.isShared()) {
      http.open();
    }
    dispatcher.startPeriodicTasks();
    hotRestart.divideCapacity();
  }

  private void endpointsKnown() {
    shutdown.endpointsKnown();
    http.open();
  }

  /** Begins a graceful shutdown, after which {@link #run} returns. Any thread may call this. */
  public void shutDown() {
    loop.execute(shutdown::request);
  }
}
