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
 * Applies the overrides that operators set, stores them for the next process, and sends them to the
 * other process of a hot restart. Owns the {@link OperatorOverrides} and triggers the transitions
 * of the {@link ClientDrain}. Confined to the event loop's thread.
 */
public final class OperatorControls {
  /**
   * The time, in microseconds, for which idle connections stay open and jobs are accepted after the
   * start of a client drain. Load balancers in front of the dispatcher need 0.2 s to notice the
   * drain, and after 2 s no job may be accepted.
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

  /** Whether the overrides of the predecessor have not been received yet. */
  private boolean awaitsSnapshot;

  /**
   * The last change of each override in this process while the predecessor's overrides are awaited.
   */
  private final Map<OverrideChange.Target, OverrideChange> changesBeforeSnapshot =
      new LinkedHashMap<>();

  /** Ends the notice period; pending while the state is {@link ClientDrainState#NOTIFYING}. */
  private Optional<EventLoop.Timer> noticePeriodTimer = Optional.empty();

  /**
   * Creates controls that start with the overrides which operators set in an earlier process.
   *
   * @param initial the overrides that the store contained at the start
   * @param clientDrain a drain in the state that corresponds to {@code initial}
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
    awaitsSnapshot = hotRestart.isShared();
    this.closeIdleClients = closeIdleClients;
  }

  /** Returns the ids of the workers that operators have disabled. */
  public Set<String> disabledWorkers() {
    return overrides.disabledWorkers();
  }

  /**
   * Does what {@link AdminOperations#setWorkerDisabled} specifies.
   *
   * @throws IOException if the change cannot be stored; it is not applied then
   */
  public boolean setWorkerDisabled(String id, boolean disabled) throws IOException {
    boolean isDisabled = overrides.disabledWorkers().contains(id);
    boolean known = dispatcher.isListed(id) || isDisabled;
    if (known && (isDisabled != disabled || hotRestart.isShared())) {
      change(new OverrideChange.OfWorker(id, disabled));
    }
    return known;
  }

  /**
   * Does what {@link AdminOperations#setClientDrain} specifies.
   *
   * @throws IOException if the change cannot be stored; it is not applied then
   */
  public void setClientDrain(boolean draining) throws IOException {
    if (overrides.clientsDrained() != draining || hotRestart.isShared()) {
      change(new OverrideChange.OfClientDrain(draining));
    }
  }

  /**
   * Changes an override in this process and in the other processes. A change that has no effect
   * here is sent as well, because another process may have sent the opposite change, which has not
   * arrived yet.
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
   * Sends all overrides to the successor, which may have read the file just before the last change.
   */
  void sendSnapshot() {
    hotRestart.sendToSuccessor(
        HotRestartMessage.notice(HotRestartMessage.Type.OPERATOR_OVERRIDES, overrides.toText()));
  }

  /**
   * Applies a change that operators made in another process.
   *
   * @return whether this changes an override in this process
   */
  boolean changeReceived(OverrideChange change) {
    return !replace(change.applyTo(overrides)).isEmpty();
  }

  /**
   * Applies all overrides of the predecessor. The changes that operators have made in this process
   * since its start are newer and take precedence: the predecessor receives them only after it has
   * sent its overrides.
   *
   * @return the changes to the overrides of this process
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
      // Both processes write the file: if two changes cross, it must contain both of them.
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
