package loomreel.process;

import java.io.IOException;
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
    this.closeIdleClients = closeIdleClients;
  }

  /** What operators have set. */
  OperatorOverrides overrides() {
    return overrides;
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
    if (known && isDisabled != disabled) {
      HotRestartMessage.Type type =
          disabled ? HotRestartMessage.Type.WORKER_DISABLED : HotRestartMessage.Type.WORKER_ENABLED;
      change(overrides.withWorkerDisabled(id, disabled), HotRestartMessage.notice(type, id));
    }
    return known;
  }

  /**
   * As {@link AdminOperations#setClientDrain}.
   *
   * @throws IOException if it could not be stored; nothing has changed then
   */
  public void setClientDrain(boolean draining) throws IOException {
    if (overrides.clientsDrained() != draining) {
      HotRestartMessage.Type type =
          draining
              ? HotRestartMessage.Type.CLIENT_DRAIN_STARTED
              : HotRestartMessage.Type.CLIENT_DRAIN_STOPPED;
      change(overrides.withClientsDrained(draining), HotRestartMessage.notice(type, ""));
    }
  }

  private void change(OperatorOverrides next, HotRestartMessage notice) throws IOException {
    store.save(next);
    apply(next);
    hotRestart.send(notice);
  }

  /** Sends everything to a process that may have read the file just before the last change. */
  void sendAll() {
    hotRestart.send(
        HotRestartMessage.notice(HotRestartMessage.Type.OPERATOR_OVERRIDES, overrides.toText()));
  }

  /** Operators have changed something in the other process. */
  void changedElsewhere(OperatorOverrides next) {
    try {
      // Both processes store it: two changes may cross, and the file must then contain both.
      store.save(next);
    } catch (IOException e) {
      log.warn("operator overrides of the other process not saved reason=" + e.getMessage());
    }
    apply(next);
  }

  private void apply(OperatorOverrides next) {
    OperatorOverrides previous = overrides;
    overrides = next;
    next.disabledWorkers().stream()
        .filter(id -> !previous.disabledWorkers().contains(id))
        .forEach(dispatcher::disableWorker);
    previous.disabledWorkers().stream()
        .filter(id -> !next.disabledWorkers().contains(id))
        .forEach(dispatcher::enableWorker);
    if (next.clientsDrained() != previous.clientsDrained()) {
      noticePeriod.ifPresent(EventLoop.Timer::cancel);
      if (next.clientsDrained()) {
        startClientDrain();
      } else {
        clientDrain.apply(ClientDrainState.Trigger.DRAIN_STOPPED);
        noticePeriod = Optional.empty();
      }
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
