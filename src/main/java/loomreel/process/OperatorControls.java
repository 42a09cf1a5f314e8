package loomreel.process;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import loomreel.core.Dispatcher;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Applies the overrides that operators set, and stores them for the next process. During a hot
 * restart, exchanges changes of overrides with the peers, that is, with the predecessor and the
 * successor while they are connected. Owns the {@link OperatorOverrides} and triggers the
 * transitions of the {@link ClientDrain}. Confined to the event loop's thread.
 */
public final class OperatorControls {
  /**
   * The notice period of a client drain, in microseconds. For this time after the start of the
   * drain, idle connections stay open and jobs are accepted. The period must be longer than 0.2 s,
   * the time that load balancers in front of the dispatcher need to notice the drain. The period
   * must be shorter than 2 s, because no job may be accepted later than 2 s after the start of the
   * drain.
   */
  private static final long NOTICE_PERIOD_MICROS = 1_800_000;

  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.process.operators");
  private final Dispatcher dispatcher;
  private final EventLoop loop;
  private final OperatorOverridesStore store;
  private final HotRestart hotRestart;
  private final ClientDrain clientDrain;
  private final Runnable closeIdleClients;
  private OperatorOverrides overrides;

  /**
   * Whether a predecessor was connected at the start and has not sent a snapshot of its overrides
   * yet. False if no predecessor was connected at the start.
   */
  private boolean awaitsSnapshot;

  /**
   * The changes that operators have made in this process while the snapshot of the predecessor is
   * awaited. For each override, only the last change is kept.
   */
  private final Map<OverrideChange.Target, OverrideChange> changesBeforeSnapshot =
      new LinkedHashMap<>();

  /**
   * The timer that ends the notice period. It is scheduled while the state of the client drain is
   * {@link ClientDrainState#NOTIFYING}.
   */
  private Optional<EventLoop.Timer> noticePeriodTimer = Optional.empty();

  /**
   * Creates controls with the overrides that operators set in an earlier process.
   *
   * @param initial the overrides that the store contained at the start
   * @param clientDrain the client drain, whose state corresponds to {@code initial}
   * @param closeIdleClients closes the idle connections of clients; run when the notice period of a
   *     client drain ends
   */
  public OperatorControls(
      Dispatcher dispatcher,
      OperatorOverridesStore store,
      OperatorOverrides initial,
      ClientDrain clientDrain,
      HotRestart hotRestart,
      Runnable closeIdleClients) {
    this.dispatcher = dispatcher;
    this.loop = dispatcher.loop();
    this.store = store;
    this.overrides = initial;
    this.clientDrain = clientDrain;
    this.hotRestart = hotRestart;
    awaitsSnapshot = hotRestart.isPeerConnected();
    this.closeIdleClients = closeIdleClients;
  }

  /** Returns the ids of the workers that operators have disabled. */
  public Set<String> disabledWorkers() {
    return overrides.disabledWorkers();
  }

  /**
   * Implements {@link AdminOperations#setWorkerDisabled}.
   *
   * @throws IOException if the change cannot be stored; in that case, the change is not applied
   */
  public boolean setWorkerDisabled(String id, boolean disabled) throws IOException {
    boolean isDisabled = overrides.disabledWorkers().contains(id);
    boolean known = dispatcher.isListed(id) || isDisabled;
    if (known && (isDisabled != disabled || hotRestart.isPeerConnected())) {
      change(new OverrideChange.OfWorker(id, disabled));
    }
    return known;
  }

  /**
   * Implements {@link AdminOperations#setClientDrain}.
   *
   * @throws IOException if the change cannot be stored; in that case, the change is not applied
   */
  public void setClientDrain(boolean draining) throws IOException {
    if (overrides.clientsDrained() != draining || hotRestart.isPeerConnected()) {
      change(new OverrideChange.OfClientDrain(draining));
    }
  }

  /**
   * Stores and applies a change that operators have made in this process, and sends it to the
   * peers. While a peer is connected, callers call this method even if the change has no effect in
   * this process: the peer may have sent the opposite change, which this process may not have
   * received yet.
   */
  private void change(OverrideChange change) throws IOException {
    OperatorOverrides next = change.applyTo(overrides);
    store.save(next);
    apply(next);
    if (awaitsSnapshot) {
      changesBeforeSnapshot.put(change.target(), change);
    }
    hotRestart.send(change.toMessage());
  }

  /**
   * Sends a snapshot, that is, all overrides of this process, to the successor. The overrides that
   * the successor has read from the file may lack the last change.
   */
  void sendSnapshot() {
    hotRestart.sendToSuccessor(
        HotRestartMessage.oneWayMessage(
            HotRestartMessage.Type.OPERATOR_OVERRIDES, overrides.toText()));
  }

  /**
   * Stores and applies a change that a peer has sent. If the change cannot be stored, this is
   * logged, and the change is applied nevertheless.
   *
   * @return whether the change alters an override of this process
   */
  boolean changeReceived(OverrideChange change) {
    return !replace(change.applyTo(overrides)).isEmpty();
  }

  /**
   * Merges a snapshot of the predecessor's overrides with the changes that operators have made in
   * this process since its start, and applies and stores the result. The changes take precedence
   * over the snapshot because they are newer: the predecessor sends the snapshot before it receives
   * any of the changes.
   *
   * @return the differences between the previous and the new overrides of this process
   */
  List<OverrideChange> snapshotReceived(OperatorOverrides predecessorOverrides) {
    OperatorOverrides next = predecessorOverrides;
    for (OverrideChange change : changesBeforeSnapshot.values()) {
      next = change.applyTo(next);
    }
    awaitsSnapshot = false;
    changesBeforeSnapshot.clear();
    return replace(next);
  }

  private List<OverrideChange> replace(OperatorOverrides next) {
    try {
      // Each process writes all its overrides to the same file. If a peer and this process make
      // changes at the same time, the process that writes last may not have received the other
      // change yet. The file then lacks the other change. Therefore each process saves its
      // overrides again after it has received a change, so that the file contains both changes in
      // the end. If both changes concern the same override, only one takes effect (see
      // HotRestartCoordinator).
      store.save(next);
    } catch (IOException e) {
      log.warn("operator overrides of the other process not saved reason=" + e.getMessage());
    }
    return apply(next);
  }

  private List<OverrideChange> apply(OperatorOverrides next) {
    List<OverrideChange> changes = overrides.changesTo(next);
    overrides = next;
    changes.forEach(this::applyToDispatcher);
    return changes;
  }

  private void applyToDispatcher(OverrideChange change) {
    if (change instanceof OverrideChange.OfWorker workerChange) {
      if (workerChange.disabled()) {
        dispatcher.disableWorker(workerChange.id());
      } else {
        dispatcher.enableWorker(workerChange.id());
      }
      return;
    }
    noticePeriodTimer.ifPresent(EventLoop.Timer::cancel);
    noticePeriodTimer = Optional.empty();
    if (overrides.clientsDrained()) {
      startClientDrain();
    } else {
      clientDrain.apply(ClientDrainState.Trigger.DRAIN_STOPPED);
    }
  }

  private void startClientDrain() {
    clientDrain.apply(ClientDrainState.Trigger.DRAIN_STARTED);
    noticePeriodTimer =
        Optional.of(loop.schedule(loop.now() + NOTICE_PERIOD_MICROS, this::noticePeriodEnded));
  }

  private void noticePeriodEnded() {
    clientDrain.apply(ClientDrainState.Trigger.NOTICE_PERIOD_ENDED);
    closeIdleClients.run();
  }
}
