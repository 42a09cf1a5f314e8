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
 * One dispatcher process. Creates the event loop and the components that run on the event loop,
 * connects the components with each other, and owns them until the process ends. All decisions are
 * made in the components.
 */
public final class Server {
  /**
   * The number by which the memory of the process is divided to compute the scarcity threshold of
   * the {@link BufferPool}. If the acquired buffers occupy at least this part of the memory, the
   * pool reports that buffers are scarce, but still allocates further buffers.
   */
  private static final int MEMORY_TO_BUFFER_RATIO = 16;

  /** The maximum size of these buffers, as a fraction of the heap. */
  private static final double MAX_HEAP_TO_BUFFER_RATIO = 5 / 16.0;

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
   * Creates a dispatcher process and opens its ports. No connection is accepted before {@link
   * #run}.
   *
   * @param faktorySettings the settings of Faktory, or empty if Faktory is disabled
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
    // Connect to the predecessor before any connection is accepted: the first callback that this
    // process receives may report on a job of the predecessor.
    hotRestart = HotRestart.connect(dispatcher, hotRestartPort(config, files));
    // Load the overrides after connecting to the predecessor. The predecessor sends all later
    // changes of overrides on the connection.
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
    descriptors.allocate(hotRestart.isPeerConnected());
    logListening(config);
  }

  private static BufferPool bufferPool(ServeConfig config) {
    long bytesByMemory = config.memoryBytes() / MEMORY_TO_BUFFER_RATIO;
    // The JVM limits direct buffers as well, by default to the size of the heap.
    long bytesByHeap = (long) (Runtime.getRuntime().maxMemory() * MAX_HEAP_TO_BUFFER_RATIO);
    return new BufferPool((int) (Math.min(bytesByMemory, bytesByHeap) / BufferPool.SIZE));
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
   * Returns the path of the file that contains the port for hot restarts, or empty if hot restart
   * is disabled. Hot restart is disabled unless the platform passes the listening socket to the
   * process, because otherwise a successor could not accept connections. It is also disabled if no
   * directory for the file is configured.
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
    // No method of Optional that takes a lambda is used here. The JVM would load the class
    // FaktoryIngress to link the lambda, even if Faktory is disabled.
    return faktory.isPresent() ? List.of(http, faktory.get()) : List.of(http);
  }

  /** Returns the number of file descriptors that are reserved for Faktory connections. */
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
   * Returns the TCP port on which the connections of clients and the callbacks of workers are
   * accepted.
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

  /** Returns the component that reloads the configuration. */
  public ConfigReloader configReloader() {
    return configReloader;
  }

  /** Returns the operations that operators can request. */
  public AdminOperations adminOperations() {
    return adminOperations;
  }

  /**
   * Serves until a graceful shutdown is complete.
   *
   * @throws IOException if the selector fails
   */
  public void run() throws IOException {
    // Run start() in the first iteration of the event loop. The loop reads the clock once in each
    // iteration. Before the first iteration, loop.now() is the time at which the loop was created.
    // A timer that start() set relative to this time would expire too early.
    loop.execute(this::start);
    ingressSummary.start();
    loop.run();
    ingresses.forEach(Ingress::close);
    log.info("stopped; " + dispatcher.summary() + "; " + ingressSummary.summary());
  }

  private void start() {
    dispatcher.start(operatorControls.disabledWorkers());
    workers.start(this::endpointsKnown);
    // If a predecessor is connected, the predecessor accepts connections until its own shutdown.
    // This process starts to accept connections when it has its endpoint list, or earlier if
    // the predecessor shuts down or disconnects. If no predecessor is connected, this process
    // accepts connections now: otherwise, clients that connect before this process is ready would
    // get no answer.
    if (!hotRestart.isPeerConnected()) {
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
   * Begins a graceful shutdown. {@link #run} returns when the shutdown is complete. May be called
   * on any thread.
   */
  public void shutDown() {
    loop.execute(shutdown::request);
  }
}
