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
 * Applies what operators set by hand, stores it for the next process and sends it to the other
 * process of a hot restart. Owns the {@link OperatorOverrides} and drives the {@link ClientDrain};
 * confined to the event loop's thread.
 */
public final class OperatorControls {
  /**
   * For this long after the start of a client drain idle connections stay open and jobs are
   * accepted: load balancers in front need 0.2 s to notice, and after 2 s no job may be accepted.
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

  /** Whether a predecessor will send its overrides. */
  private boolean awaitsPredecessor;

  /** The last change here of each override while the predecessor's overrides are awaited. */
  private final Map<OverrideChange.Target, OverrideChange> changesBeforeSnapshot =
      new LinkedHashMap<>();

  /** Runs while the state is {@link ClientDrainState#NOTIFYING}. */
  private Optional<EventLoop.Timer> noticePeriod = Optional.empty();

  /**
   * Continues with what operators set in an earlier process.
   *
   * @param initial as the store held it at the start
   * @param clientDrain in the state that follows from {@code initial}
   * @param closeIdleClients run when the notice period of a client drain has ended
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
    awaitsPredecessor = hotRestart.isShared();
    this.closeIdleClients = closeIdleClients;
  }

  /** The ids of the workers that operators have disabled. */
  public Set<String> disabledWorkers() {
    return overrides.disabledWorkers();
  }

  /**
   * As {@link AdminOperations#setWorkerDisabled}.
   *
   * @throws IOException if it could not be stored; nothing has changed then
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
   * As {@link AdminOperations#setClientDrain}.
   *
   * @throws IOException if it could not be stored; nothing has changed then
   */
  public void setClientDrain(boolean draining) throws IOException {
    if (overrides.clientsDrained() != draining || hotRestart.isShared()) {
      change(new OverrideChange.OfClientDrain(draining));
    }
  }

  /**
   * Changes an override here and in the other processes. A change without effect here is sent as
   * well: the opposite one may be under way from another process.
   */
  private void change(OverrideChange change) throws IOException {
    OperatorOverrides next = change.applyTo(overrides);
    store.save(next);
    apply(next);
    if (awaitsPredecessor) {
      changesBeforeSnapshot.put(change.target(), change);
    }
    hotRestart.send(change.toMessage());
  }

  /** Sends everything to a process that may have read the file just before the last change. */
  void sendAll() {
    hotRestart.sendToSuccessor(
        HotRestartMessage.notice(HotRestartMessage.Type.OPERATOR_OVERRIDES, overrides.toText()));
  }

  /**
   * Operators have changed something in another process.
   *
   * @return whether that changes something here
   */
  boolean changedElsewhere(OverrideChange change) {
    return !replace(change.applyTo(overrides)).isEmpty();
  }

  /**
   * The predecessor has sent all that it has. What operators have changed here since the start is
   * newer: the predecessor receives it after it has sent this.
   *
   * @return what that changes here
   */
  List<OverrideChange> snapshotReceived(OperatorOverrides ofPredecessor) {
    OperatorOverrides next = ofPredecessor;
    for (OverrideChange change : changesBeforeSnapshot.values()) {
      next = change.applyTo(next);
    }
    awaitsPredecessor = false;
    changesBeforeSnapshot.clear();
    return replace(next);
  }

  private List<OverrideChange> replace(OperatorOverrides next) {
    try {
      // Both processes store it: two changes may cross, and the file must then contain both.
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
    if (change instanceof OverrideChange.OfWorker ofWorker) {
      if (ofWorker.disabled()) {
        dispatcher.disableWorker(ofWorker.id());
      } else {
        dispatcher.enableWorker(ofWorker.id());
      }
      return;
    }
    noticePeriod.ifPresent(EventLoop.Timer::cancel);
    noticePeriod = Optional.empty();
    if (overrides.clientsDrained()) {
      startClientDrain();
    } else {
      clientDrain.apply(ClientDrainState.Trigger.DRAIN_STOPPED);
    }
  }

  private void startClientDrain() {
    clientDrain.apply(ClientDrainState.Trigger.DRAIN_STARTED);
    noticePeriod =
        Optional.of(loop.schedule(loop.now() + NOTICE_PERIOD_MICROS, this::noticePeriodEnded));
  }

  private void noticePeriodEnded() {
    clientDrain.apply(ClientDrainState.Trigger.NOTICE_PERIOD_ENDED);
    closeIdleClients.run();
  }
}
