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
 * One dispatcher process. Creates the event loop and the components that run on it, connects them,
 * and owns them until the process ends. It makes no decisions: each component does its own work.
 */
public final class Server {
  /** Ratio of the memory of the process to the memory that buffers may use. */
  private static final int MEMORY_TO_BUFFER_RATIO = 16;

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
   * Creates a dispatcher process and opens its ports. Nothing is accepted before {@link #run}.
   *
   * @param faktorySettings empty if Faktory is disabled
   * @param trace the writer of trace events, or empty if events are not traced
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
    // Connects before anything is accepted: the first callback may be for the other process.
    hotRestart = HotRestart.connect(dispatcher, hotRestartPort(config, files));
    // Loads the overrides after connecting to the predecessor, which sends all later changes over
    // the connection.
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
        (int) (config.memoryBytes() / MEMORY_TO_BUFFER_RATIO / BufferPool.SIZE));
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

  /**
   * Returns the port file, or empty if hot restart is disabled. It is disabled unless the listening
   * socket is passed by the platform, because a successor could accept no connections otherwise.
   */
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
    // No lambda, because linking it would load FaktoryIngress even if Faktory is disabled.
    return faktory.isPresent() ? List.of(http, faktory.get()) : List.of(http);
  }

  /**
   * Returns the number of file descriptors that are reserved for Faktory and that HTTP cannot use.
   */
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
   * Returns the port on which clients and callbacks are accepted.
   *
   * @throws IOException if the listening socket is closed
   */
  public int port() throws IOException {
    return ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  /** Returns the event loop on which all components run. */
  public EventLoop loop() {
    return loop;
  }

  /** Returns the component that applies configurations which are read again. */
  public ConfigReloader configReloader() {
    return configReloader;
  }

  /** Returns the component that carries out the requests of operators. */
  public AdminOperations adminOperations() {
    return adminOperations;
  }

  /**
   * Serves until a graceful shutdown is complete.
   *
   * @throws IOException if the selector fails
   */
  public void run() throws IOException {
    // Runs in an iteration of the loop. The loop's clock has not advanced since its creation, so
    // timers that are set here would be overdue at once.
    loop.execute(this::start);
    ingressSummary.start();
    loop.run();
    ingresses.forEach(Ingress::close);
    log.info("stopped; " + dispatcher.summary() + "; " + ingressSummary.summary());
  }

  private void start() {
    dispatcher.start(operatorControls.disabledWorkers());
    workers.start(this::endpointsKnown);
    // A predecessor accepts clients until this process has its endpoint list. Without a predecessor
    // this process accepts them now, because clients that do not wait until it is ready would get
    // no answer at all.
    if (!hotRestart.isShared()) {
      http.open();
    }
    dispatcher.startPeriodicTasks();
    hotRestart.updateAllowanceAndCallIds();
  }

  private void endpointsKnown() {
    shutdown.endpointsKnown();
    http.open();
  }

  /**
   * Begins a graceful shutdown; {@link #run} returns when it is complete. May be called on any
   * thread.
   */
  public void shutDown() {
    loop.execute(shutdown::request);
  }
}
