package loomreel.faktory.worker;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loomreel.core.CallAttempt;
import loomreel.core.Dispatcher;
import loomreel.core.Subchannel;
import loomreel.core.WorkerPool;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.decision.Settings;
import loomreel.faktory.payload.PayloadValidator;
import loomreel.faktory.protocol.Handshake;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;
import loomreel.settings.FaktorySettings;

/**
 * The workers that fetch their jobs by the Faktory protocol. Each is listed as an endpoint from its
 * first FETCH until it is gone; the dispatcher sends attempts to its {@link FaktorySubchannel}.
 */
public final class FaktoryWorkerPool implements WorkerPool {
  /** Endpoint ids of Faktory workers begin with this, and no others do. */
  static final String PREFIX = "f:";

  /** Least window of a worker's {@link SlotEstimator}. */
  private static final long MIN_SLOT_WINDOW_MICROS = 5_000_000;

  /** Heartbeats are checked so often within the time that one may be missing. */
  private static final int HEARTBEAT_CHECKS_PER_TIMEOUT = 4;

  private static final long MIN_HEARTBEAT_CHECK_MICROS = 10_000;
  private static final long MAX_HEARTBEAT_CHECK_MICROS = 1_000_000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** Receives what a worker says of an attempt that does not change the attempt's end. */
  public interface LateReportListener {
    /**
     * Called for each such message.
     *
     * @param id the attempt's id as the worker gave it
     * @param what the message, for the job's evidence
     */
    void lateReport(String id, String what);
  }

  private final Dispatcher dispatcher;
  private final EventLoop loop;
  private final FaktorySubchannel.Context subchannelContext;
  private final long heartbeatTimeoutMicros;
  private final WorkerRegistry registry;
  private final LateReportListener listener;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.faktory.worker");

  /** By endpoint id. */
  private final Map<String, FaktorySubchannel> subchannels = new HashMap<>();

  /**
   * Creates a pool without workers, and starts its heartbeat checks.
   *
   * @param classes the request classes of the settings, in their order
   * @param site zone of a worker whose labels do not say
   */
  public FaktoryWorkerPool(
      Dispatcher dispatcher,
      FaktorySettings.Workers settings,
      PayloadValidator payloads,
      List<Settings.RequestClass> classes,
      String site,
      LateReportListener listener) {
    this.dispatcher = dispatcher;
    this.loop = dispatcher.loop();
    this.listener = listener;
    subchannelContext = new FaktorySubchannel.Context(dispatcher, this, payloads, classes, site);
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
              + worker.wid
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

  /** The subchannel of a worker; null where it has not fetched yet, is gone, or is null itself. */
  private FaktorySubchannel subchannelOf(WorkerRegistry.Worker worker) {
    return worker == null ? null : subchannels.get(PREFIX + worker.wid);
  }

  /** Lists a worker at its first FETCH: before that nobody knows which queues it takes. */
  private void addEndpoint(WorkerRegistry.Worker worker) {
    FaktorySubchannel subchannel = new FaktorySubchannel(subchannelContext, worker);
    subchannels.put(subchannel.endpoint().id(), subchannel);
    log.info(
        "worker connected wid="
            + worker.wid
            + " queues="
            + worker.queues
            + " labels="
            + worker.handshake.labels());
    dispatcher.endpointsChanged(this, false, List.of(subchannel.endpoint()));
  }

  private void removeEndpoint(WorkerRegistry.Worker worker) {
    FaktorySubchannel removed = subchannels.remove(PREFIX + worker.wid);
    if (removed != null) {
      // Published first: what is withdrawn must not be sent there again.
      Endpoint gone = removed.endpoint().withState(Endpoint.State.REMOVED);
      dispatcher.endpointsChanged(this, false, List.of(gone));
      removed.withdrawAll();
    }
  }

  private void drain(WorkerRegistry.Worker worker) {
    FaktorySubchannel subchannel = subchannelOf(worker);
    if (subchannel != null) {
      subchannel.publish(Endpoint.State.DRAINING);
      subchannel.withdrawAll();
    }
    // A FETCH that waits would wait in vain.
    for (WorkerConnection connection : List.copyOf(worker.connections)) {
      connection.answerFetchWithoutJob();
    }
  }

  /**
   * Handles a FETCH.
   *
   * @return the payload of the job that it takes, or null for none; the FETCH may wait then
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
   * @param state what the worker says that it is: quiet, terminate or null
   * @param rssKb the memory that it says it uses, which nothing depends on
   */
  public void heartbeat(WorkerRegistry.Worker worker, String state, long rssKb) {
    if (registry.recordHeartbeat(worker, state, loop.now())) {
      log.info("worker draining wid=" + worker.wid + " state=" + state);
      drain(worker);
    }
  }

  /**
   * Handles the loss of a connection. Jobs that were sent on it may run; the worker's other
   * connections go on.
   */
  public void disconnect(WorkerRegistry.Worker worker, WorkerConnection connection) {
    connectionLost(worker, connection);
    if (registry.disconnect(worker, connection)) {
      log.info("worker disconnected wid=" + worker.wid);
      removeEndpoint(worker);
    }
  }

  private void connectionLost(WorkerRegistry.Worker worker, WorkerConnection connection) {
    FaktorySubchannel subchannel = subchannelOf(worker);
    if (subchannel != null) {
      subchannel.connectionLost(connection);
    }
  }

  /**
   * Handles an ACK. One that is late, repeated or of another worker becomes evidence, and changes
   * no end.
   *
   * @param worker the worker that sent it, or null for a client that is none
   * @return whether the worker had this job
   */
  public boolean acknowledge(WorkerRegistry.Worker worker, String id, byte[] result) {
    FaktorySubchannel subchannel = subchannelOf(worker);
    CallAttempt attempt = subchannel == null ? null : subchannel.complete(id);
    if (attempt == null || attempt.hasEnded()) {
      listener.lateReport(id, "ACK from " + nameOf(worker));
      return attempt != null;
    }
    attempt.completed(result, subchannel.load());
    return true;
  }

  /**
   * Handles a FAIL, like an ACK.
   *
   * @param worker the worker that sent it, or null for a client that is none
   * @param why what the worker says of the failure
   * @return whether the worker had this job
   */
  public boolean fail(WorkerRegistry.Worker worker, String id, String why) {
    FaktorySubchannel subchannel = subchannelOf(worker);
    CallAttempt attempt = subchannel == null ? null : subchannel.complete(id);
    if (attempt == null || attempt.hasEnded()) {
      listener.lateReport(id, "FAIL from " + nameOf(worker) + " (" + why + ")");
      return attempt != null;
    }
    listener.lateReport(id, worker.wid + " said FAIL: " + why);
    attempt.end(AttemptOutcome.ERROR, subchannel.load());
    return true;
  }

  private static String nameOf(WorkerRegistry.Worker worker) {
    return worker == null ? "nobody" : worker.wid;
  }

  /** Handles the progress of a job that a worker reports. */
  public void progress(WorkerRegistry.Worker worker, String id) {
    FaktorySubchannel subchannel = subchannelOf(worker);
    CallAttempt attempt = subchannel == null ? null : subchannel.findInProgress(id);
    if (attempt != null) {
      attempt.progressed();
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
  public Subchannel find(String id) {
    return subchannels.get(id);
  }

  @Override
  public int size() {
    return subchannels.size();
  }

  @Override
  public List<Endpoint> endpoints() {
    return subchannels.values().stream().map(FaktorySubchannel::endpoint).toList();
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
                + subchannel.worker().wid
                + " slots="
                + slots
                + " previous="
                + before);
      }
    }
  }
}
