package loomreel.faktory.worker;

import java.util.List;
import java.util.Map;
import java.util.Set;
import loomreel.core.CallAttempt;
import loomreel.core.Dispatcher;
import loomreel.core.Rpc;
import loomreel.core.Subchannel;
import loomreel.core.WorkerPool;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.decision.Settings;
import loomreel.decision.WorkerLoad;
import loomreel.faktory.payload.WorkerPayloads;
import loomreel.io.EventLoop;

/**
 * One Faktory worker as the dispatcher sees it: attempts that are started wait here until the
 * worker fetches them. Owned by {@link FaktoryWorkerPool}.
 */
final class FaktorySubchannel implements Subchannel {
  /** Attempts that may wait for each slot; more are rejected, as a full worker does. */
  private static final int MAX_WAITING_PER_SLOT = 4;

  /** How long after its time an attempt without a report still occupies a slot, in microseconds. */
  private static final long SLOT_GRACE_MICROS = 5_000_000;

  /** Labels of a worker for its zone and its kind. */
  private static final String ZONE_LABEL = "site";

  private static final String KIND_LABEL = "kind";

  /** Cell of an endpoint that belongs to none. */
  private static final int NO_CELL = -1;

  /**
   * What all subchannels of a pool use.
   *
   * @param classes the request classes of the settings, in their order
   * @param defaultZone zone of a worker without a label for it
   */
  record Context(
      Dispatcher dispatcher,
      WorkerPool pool,
      WorkerPayloads payloads,
      List<Settings.RequestClass> classes,
      String defaultZone) {}

  private final Context context;
  private final EventLoop loop;
  private final WorkerRegistry.Worker worker;
  private final FetchDispatcher<CallAttempt, WorkerConnection> fetches = new FetchDispatcher<>();
  private Endpoint endpoint;

  /** The slots that were logged last; 0 before. */
  private int loggedSlots;

  FaktorySubchannel(Context context, WorkerRegistry.Worker worker) {
    this.context = context;
    this.worker = worker;
    loop = context.dispatcher().loop();
    Map<String, String> labels = worker.handshake.labels();
    endpoint =
        new Endpoint(
            FaktoryWorkerPool.PREFIX + worker.wid(),
            labels.getOrDefault(ZONE_LABEL, context.defaultZone()),
            labels.getOrDefault(KIND_LABEL, ""),
            NO_CELL,
            Endpoint.State.READY,
            worker.startedAt,
            1,
            Set.copyOf(worker.queues));
  }

  @Override
  public Endpoint endpoint() {
    return endpoint;
  }

  /** Publishes the endpoint with a state and the queues that the worker fetches from now. */
  void publish(Endpoint.State state) {
    endpoint =
        new Endpoint(
            endpoint.id(),
            endpoint.zone(),
            endpoint.kind(),
            endpoint.failureDomain(),
            state,
            endpoint.startedAt(),
            endpoint.weight(),
            Set.copyOf(worker.queues));
    context.dispatcher().endpointsChanged(context.pool(), false, List.of(endpoint));
  }

  @Override
  public ActiveCall start(CallAttempt attempt) {
    String queue = context.payloads().queue(attempt.rpc(), className(attempt.rpc()));
    FetchDispatcher.Item<CallAttempt, WorkerConnection> item =
        worker.mayTake() && worker.queues.contains(queue)
            ? fetches.enqueue(attempt.rpc().id(), queue, attempt, MAX_WAITING_PER_SLOT * slots())
            : null;
    if (item == null) {
      attempt.end(AttemptOutcome.REJECTED, load());
      return null;
    }
    EventLoop.Timer writeTimer =
        loop.schedule(attempt.writeDeadline(), () -> writeDeadlinePassed(item));
    offerToWaitingFetches();
    return new WaitingCall(item, writeTimer);
  }

  private String className(Rpc rpc) {
    return context.classes().get(rpc.requestClass()).name();
  }

  private void writeDeadlinePassed(FetchDispatcher.Item<CallAttempt, WorkerConnection> item) {
    if (fetches.withdraw(item)) {
      item.value().end(AttemptOutcome.CONNECT_FAILED, null);
    } else if (item.state() == FetchDispatcher.State.WRITING) {
      closePartlyWritten(item);
    }
  }

  /**
   * Ends an attempt of which a part is written, by closing its connection: that discards the rest,
   * so it cannot run. Otherwise the rest would be written later, and it would run after all.
   */
  private static void closePartlyWritten(FetchDispatcher.Item<CallAttempt, WorkerConnection> item) {
    item.connection().close();
  }

  private void offerToWaitingFetches() {
    for (WorkerConnection connection : List.copyOf(worker.connections)) {
      if (fetches.waitingCount() > 0) {
        connection.offer();
      }
    }
  }

  /** An attempt that waits for a FETCH; once fetched it cannot be stopped. */
  private final class WaitingCall implements ActiveCall {
    private final FetchDispatcher.Item<CallAttempt, WorkerConnection> item;
    private final EventLoop.Timer writeTimer;

    WaitingCall(
        FetchDispatcher.Item<CallAttempt, WorkerConnection> item, EventLoop.Timer writeTimer) {
      this.item = item;
      this.writeTimer = writeTimer;
    }

    @Override
    public void cancel() {
      writeTimer.cancel();
      fetches.withdraw(item);
    }

    @Override
    public boolean abortIfUnsent() {
      boolean isWithdrawn = fetches.withdraw(item);
      if (isWithdrawn) {
        writeTimer.cancel();
      }
      return isWithdrawn;
    }
  }

  /** The payload of the first attempt of these queues, for a FETCH; null for none. */
  byte[] fetch(WorkerConnection connection, List<String> queues) {
    FetchDispatcher.Item<CallAttempt, WorkerConnection> item =
        fetches.fetch(queues::contains, connection);
    if (item == null) {
      return null;
    }
    CallAttempt attempt = item.value();
    if (!attempt.mayStart()) {
      fetches.complete(item.id());
      attempt.end(AttemptOutcome.REJECTED, load());
      return null;
    }
    long reservedUntil = loop.now() + context.payloads().reservationMicros(attempt.rpc());
    if (reservedUntil < attempt.deadline()) {
      loop.schedule(reservedUntil, () -> reservationPassed(item));
    }
    // The worker may still run it when the attempt has ended: it occupies a slot until then.
    item.setExpiry(Math.max(reservedUntil, attempt.deadline()) + SLOT_GRACE_MICROS);
    return context
        .payloads()
        .encode(attempt.rpc(), className(attempt.rpc()), attempt.deadline() - loop.now());
  }

  private void reservationPassed(FetchDispatcher.Item<CallAttempt, WorkerConnection> item) {
    if (fetches.findInProgress(item.id()) != item) {
      return;
    }
    if (item.state() == FetchDispatcher.State.SENT) {
      item.value().end(AttemptOutcome.TIMEOUT, null);
    } else {
      closePartlyWritten(item);
    }
  }

  /** Sets where the attempt that a connection fetched last ends in all that is written there. */
  void setEndOffset(WorkerConnection connection, long offset) {
    fetches.setEndOffset(connection, offset);
  }

  /** Handles that so many bytes in all have been written on a connection. */
  void bytesWritten(WorkerConnection connection, long bytes) {
    for (FetchDispatcher.Item<CallAttempt, ?> item : fetches.markSent(connection, bytes)) {
      item.value().requestWritten();
      item.value().accepted();
    }
  }

  /** Ends the attempts that a lost connection had fetched; those that are sent may run. */
  void connectionLost(WorkerConnection connection) {
    for (FetchDispatcher.Item<CallAttempt, ?> item : fetches.removeConnection(connection)) {
      boolean mayHaveRun = item.state() == FetchDispatcher.State.SENT;
      item.value().end(mayHaveRun ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, null);
    }
  }

  /** Removes the attempt with an id that the worker is done with; null where it has none. */
  CallAttempt complete(String id) {
    FetchDispatcher.Item<CallAttempt, ?> item = fetches.complete(id);
    return item == null ? null : item.value();
  }

  /** The attempt with an id that the worker has, or null. */
  CallAttempt findInProgress(String id) {
    FetchDispatcher.Item<CallAttempt, ?> item = fetches.findInProgress(id);
    return item == null ? null : item.value();
  }

  /** Rejects all attempts that wait for a FETCH. */
  void withdrawAll() {
    fetches.withdrawAll().forEach(item -> item.value().end(AttemptOutcome.REJECTED, load()));
  }

  /** Frees the slots of attempts that the worker has not reported on in their time. */
  void removeExpired() {
    fetches.removeExpired(loop.now());
  }

  /** How many jobs the worker runs at a time. */
  int slots() {
    return worker.slots.slots(fetches.inProgressCount(), loop.now());
  }

  /**
   * Records the slots that are logged now, and returns those that were logged before.
   *
   * @return 0 where none were logged
   */
  int replaceLoggedSlots(int slots) {
    int before = loggedSlots;
    loggedSlots = slots;
    return before;
  }

  /**
   * The load, which is exact as it is counted here. An attempt that waits within the slots is about
   * to be fetched, and does not count as queued.
   */
  WorkerLoad load() {
    int running = fetches.inProgressCount();
    int outstanding = running + fetches.waitingCount();
    int slots = slots();
    return new WorkerLoad(
        Math.max(0, outstanding - slots),
        outstanding,
        Math.min(1, running / (double) slots),
        Math.max(0, slots - outstanding));
  }

  /** The worker that this leads to. */
  WorkerRegistry.Worker worker() {
    return worker;
  }

  @Override
  public void checkHealth() {
    context.dispatcher().healthChecked(endpoint.id(), AttemptOutcome.OK, loop.now(), load());
  }

  @Override
  public String toString() {
    return "worker " + endpoint.id();
  }
}
