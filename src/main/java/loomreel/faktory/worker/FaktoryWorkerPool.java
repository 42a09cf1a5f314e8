package loomreel.faktory.worker;

import java.util.List;
import loomreel.core.Dispatcher;
import loomreel.core.SubchannelPool;
import loomreel.decision.Endpoint;
import loomreel.decision.Settings;
import loomreel.faktory.payload.WorkerPayloads;
import loomreel.faktory.protocol.Handshake;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;
import loomreel.settings.FaktorySettings;

/**
 * The workers that fetch their jobs by the Faktory protocol. Each is listed as an endpoint from its
 * first FETCH until it disconnects; the dispatcher sends attempts to its {@link FaktorySubchannel}.
 */
public final class FaktoryWorkerPool extends SubchannelPool<FaktorySubchannel> {
  /** Endpoint ids of Faktory workers begin with this, and no others do. */
  static final String PREFIX = "f:";

  /** Least window of a worker's {@link SlotEstimator}. */
  private static final long MIN_SLOT_WINDOW_MICROS = 5_000_000;

  /** How often heartbeats are checked within the heartbeat timeout. */
  private static final int HEARTBEAT_CHECKS_PER_TIMEOUT = 4;

  private static final long MIN_HEARTBEAT_CHECK_MICROS = 10_000;
  private static final long MAX_HEARTBEAT_CHECK_MICROS = 1_000_000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  private final EventLoop loop;
  private final FaktorySubchannel.Context subchannelContext;
  private final long heartbeatTimeoutMicros;
  private final WorkerRegistry registry;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.faktory.worker");

  /**
   * Creates a pool without workers, and starts its heartbeat checks.
   *
   * @param classes the request classes of the settings, in their order
   * @param defaultZone zone of a worker without a label for it
   */
  public FaktoryWorkerPool(
      Dispatcher dispatcher,
      FaktorySettings.Workers settings,
      WorkerPayloads payloads,
      List<Settings.RequestClass> classes,
      String defaultZone) {
    super(dispatcher);
    this.loop = dispatcher.loop();
    subchannelContext =
        new FaktorySubchannel.Context(dispatcher, this, payloads, classes, defaultZone);
    heartbeatTimeoutMicros = settings.heartbeatTimeout().micros();
    registry =
        new WorkerRegistry(
            new WorkerRegistry.Limits(
                heartbeatTimeoutMicros,
                settings.initialSlots(),
                settings.slowStart(),
                Math.max(MIN_SLOT_WINDOW_MICROS, 2 * settings.fetchTimeout().micros())));
    checkHeartbeats();
  }

  private void checkHeartbeats() {
    for (WorkerRegistry.Worker worker : registry.removeLapsed(loop.now())) {
      log.warn(
          "worker heartbeat timed out wid="
              + worker.wid()
              + " timeout_s="
              + heartbeatTimeoutMicros / MICROS_PER_SECOND);
      for (WorkerConnection connection : List.copyOf(worker.connections)) {
        connectionLost(worker, connection);
        connection.close();
      }
      removeEndpoint(worker);
    }
    long interval =
        Math.max(
            MIN_HEARTBEAT_CHECK_MICROS,
            Math.min(
                MAX_HEARTBEAT_CHECK_MICROS, heartbeatTimeoutMicros / HEARTBEAT_CHECKS_PER_TIMEOUT));
    loop.schedule(loop.now() + interval, this::checkHeartbeats);
  }

  /** Adds a connection to the worker that its handshake names. */
  public WorkerRegistry.Worker connect(Handshake handshake, WorkerConnection connection) {
    return registry.connect(handshake, connection, loop.now());
  }

  /**
   * The subchannel of a worker; null where the worker is null, has not fetched yet or is
   * disconnected.
   */
  FaktorySubchannel subchannelOf(WorkerRegistry.Worker worker) {
    return worker == null ? null : subchannels.get(PREFIX + worker.wid());
  }

  /** Lists a worker at its first FETCH: before that its queues are not known. */
  private void addEndpoint(WorkerRegistry.Worker worker) {
    FaktorySubchannel subchannel = new FaktorySubchannel(subchannelContext, worker);
    subchannels.put(subchannel.endpoint().id(), subchannel);
    log.info(
        "worker connected wid="
            + worker.wid()
            + " queues="
            + worker.queues
            + " labels="
            + worker.handshake.labels());
    publish(subchannel.endpoint());
  }

  private void removeEndpoint(WorkerRegistry.Worker worker) {
    FaktorySubchannel removed = subchannels.remove(PREFIX + worker.wid());
    if (removed != null) {
      // Published first: what is withdrawn must not be assigned to it again.
      publish(removed.endpoint().withState(Endpoint.State.REMOVED));
      removed.withdrawAll();
    }
  }

  private void drain(WorkerRegistry.Worker worker) {
    FaktorySubchannel subchannel = subchannelOf(worker);
    if (subchannel != null) {
      subchannel.publish(Endpoint.State.DRAINING);
      subchannel.withdrawAll();
    }
    // A FETCH that waits cannot get a job any more.
    for (WorkerConnection connection : List.copyOf(worker.connections)) {
      connection.answerFetchWithoutJob();
    }
  }

  /**
   * Handles a FETCH.
   *
   * @return the payload of the job, or null for none; the FETCH may wait then
   */
  public byte[] fetch(
      WorkerRegistry.Worker worker, WorkerConnection connection, List<String> queues) {
    int queuesBefore = worker.queues.size();
    if (registry.recordFetch(worker, queues)) {
      addEndpoint(worker);
    }
    FaktorySubchannel subchannel = subchannelOf(worker);
    if (subchannel == null) {
      return null;
    }
    if (worker.queues.size() > queuesBefore) {
      subchannel.publish(subchannel.endpoint().state());
    }
    return worker.mayTake() ? subchannel.fetch(connection, queues) : null;
  }

  /** Changes the number of a worker's FETCHes that wait for a job. */
  public void addWaitingFetches(WorkerRegistry.Worker worker, int change) {
    worker.slots.addWaitingFetches(change);
    FaktorySubchannel subchannel = subchannelOf(worker);
    if (change > 0 && subchannel != null) {
      // The estimate is a maximum over time: it has to see the FETCHes while they wait.
      subchannel.slots();
    }
  }

  /** Sets where the job that a connection has just fetched ends in all that is written there. */
  public void setEndOffset(WorkerRegistry.Worker worker, WorkerConnection connection, long offset) {
    FaktorySubchannel subchannel = subchannelOf(worker);
    if (subchannel != null) {
      subchannel.setEndOffset(connection, offset);
    }
  }

  /** Handles that so many bytes in all have been written on a connection. */
  public void bytesWritten(WorkerRegistry.Worker worker, WorkerConnection connection, long bytes) {
    FaktorySubchannel subchannel = subchannelOf(worker);
    if (subchannel != null) {
      subchannel.bytesWritten(connection, bytes);
    }
  }

  /**
   * Handles a BEAT.
   *
   * @param state the state that the worker reports: quiet, terminate or null
   */
  public void heartbeat(WorkerRegistry.Worker worker, String state) {
    if (registry.recordHeartbeat(worker, state, loop.now())) {
      log.info("worker draining wid=" + worker.wid() + " state=" + state);
      drain(worker);
    }
  }

  /**
   * Handles the loss of a connection. Jobs that were sent on it may run; the worker's other
   * connections are not affected.
   */
  public void disconnect(WorkerRegistry.Worker worker, WorkerConnection connection) {
    connectionLost(worker, connection);
    if (registry.disconnect(worker, connection)) {
      log.info("worker disconnected wid=" + worker.wid());
      removeEndpoint(worker);
    }
  }

  private void connectionLost(WorkerRegistry.Worker worker, WorkerConnection connection) {
    FaktorySubchannel subchannel = subchannelOf(worker);
    if (subchannel != null) {
      subchannel.connectionLost(connection);
    }
  }

  @Override
  public void setDisabled(String id, boolean disabled) {
    if (id.startsWith(PREFIX)) {
      WorkerRegistry.Worker worker = registry.setDisabled(id.substring(PREFIX.length()), disabled);
      FaktorySubchannel subchannel = subchannels.get(id);
      if (worker != null && subchannel != null && disabled) {
        subchannel.withdrawAll();
      }
    }
  }

  @Override
  public void runPeriodicTasks() {
    for (FaktorySubchannel subchannel : subchannels.values()) {
      subchannel.removeExpired();
      int slots = subchannel.slots();
      int before = subchannel.replaceLoggedSlots(slots);
      if (slots != before) {
        log.info(
            "worker slots changed wid="
                + subchannel.worker().wid()
                + " slots="
                + slots
                + " previous="
                + before);
      }
    }
  }
}
