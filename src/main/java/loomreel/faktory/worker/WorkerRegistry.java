package loomreel.faktory.worker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loomreel.faktory.protocol.Handshake;

/**
 * The Faktory workers that are connected, and whether they may be given jobs. A worker is a process
 * (wid) with one or more connections, kept alive by its BEAT commands. Does no I/O and reads no
 * clock; times are microseconds of the event loop's clock.
 */
public final class WorkerRegistry {
  /**
   * Settings that hold for each worker.
   *
   * @param heartbeatTimeoutMicros without a BEAT for so long a worker counts as disconnected
   * @param minSlots slots of a worker that has not fetched yet and has no label for them
   * @param startsWarmingUp whether a worker that has just connected is warming up
   * @param slotWindowMicros see {@link SlotEstimator}
   */
  record Limits(
      long heartbeatTimeoutMicros, int minSlots, boolean startsWarmingUp, long slotWindowMicros) {}

  /**
   * The lifecycle of a worker.
   *
   * <table>
   *   <caption>Transitions</caption>
   *   <tr><th>from</th><th>to</th><th>when</th></tr>
   *   <tr><td>CONNECTED</td><td>SERVING</td><td>its first FETCH</td></tr>
   *   <tr><td>CONNECTED, SERVING</td><td>DRAINING</td><td>its BEAT reports quiet or terminate</td></tr>
   *   <tr><td>CONNECTED, SERVING, DRAINING</td><td>DISCONNECTED</td>
   *       <td>its last connection is closed, or its BEAT is overdue</td></tr>
   * </table>
   *
   * Nothing leads back from DRAINING: a process that was asked to stop stops.
   */
  enum Phase {
    CONNECTED,
    SERVING,
    DRAINING,
    DISCONNECTED;

    /** Whether a worker may go from this phase to another, by the table above. */
    boolean canBecome(Phase next) {
      return switch (this) {
        case CONNECTED -> next != CONNECTED;
        case SERVING -> next == DRAINING || next == DISCONNECTED;
        case DRAINING -> next == DISCONNECTED;
        case DISCONNECTED -> false;
      };
    }
  }

  /** One process. */
  public static final class Worker {
    private final String wid;
    final Handshake handshake;

    /** When it connected; 0 where it does not have to warm up. */
    final long startedAt;

    final Set<WorkerConnection> connections = new LinkedHashSet<>();

    /** The queues that it has fetched from; empty before its first FETCH. */
    final Set<String> queues = new HashSet<>();

    final SlotEstimator slots;
    private long lastHeartbeatMicros;
    private Phase phase = Phase.CONNECTED;

    /** Whether operators have disabled it. */
    private boolean isDisabled;

    Worker(Handshake handshake, Limits limits, boolean isDisabled, long now) {
      this.wid = handshake.wid();
      this.handshake = handshake;
      this.isDisabled = isDisabled;
      slots = new SlotEstimator(handshake.slots(0), limits.minSlots(), limits.slotWindowMicros());
      startedAt = limits.startsWarmingUp() ? now : 0;
      lastHeartbeatMicros = now;
    }

    /** The id of the process. */
    public String wid() {
      return wid;
    }

    /** Whether it may be given another job. */
    boolean mayTake() {
      return phase == Phase.SERVING && !isDisabled;
    }

    private boolean moveTo(Phase next) {
      boolean isAllowed = phase.canBecome(next);
      phase = isAllowed ? next : phase;
      return isAllowed;
    }
  }

  private final Limits limits;
  private final Map<String, Worker> workers = new HashMap<>();

  /** Wids that operators have disabled, whether they are connected or not. */
  private final Set<String> disabledWids = new HashSet<>();

  WorkerRegistry(Limits limits) {
    this.limits = limits;
  }

  /** Adds a connection to the worker that its handshake names, which may be new. */
  Worker connect(Handshake handshake, WorkerConnection connection, long now) {
    Worker worker =
        workers.computeIfAbsent(
            handshake.wid(), wid -> new Worker(handshake, limits, disabledWids.contains(wid), now));
    worker.connections.add(connection);
    return worker;
  }

  /** Records a FETCH; returns whether the worker is serving from now on and was not before. */
  boolean recordFetch(Worker worker, List<String> queues) {
    worker.queues.addAll(queues);
    return worker.moveTo(Phase.SERVING);
  }

  /**
   * Records a BEAT.
   *
   * @param state the state that the worker reports: null, "quiet" or "terminate"
   * @return whether it is draining from now on and was not before
   */
  boolean recordHeartbeat(Worker worker, String state, long now) {
    worker.lastHeartbeatMicros = now;
    boolean isStopping = "quiet".equals(state) || "terminate".equals(state);
    return isStopping && worker.moveTo(Phase.DRAINING);
  }

  /** Removes a connection; returns whether it was the last one of a connected worker. */
  boolean disconnect(Worker worker, WorkerConnection connection) {
    worker.connections.remove(connection);
    return worker.connections.isEmpty() && remove(worker);
  }

  private boolean remove(Worker worker) {
    boolean wasConnected = worker.moveTo(Phase.DISCONNECTED);
    if (wasConnected) {
      workers.remove(worker.wid, worker);
    }
    return wasConnected;
  }

  /** Removes and returns the workers whose last BEAT is too long ago. */
  List<Worker> removeLapsed(long now) {
    List<Worker> lapsed =
        workers.values().stream()
            .filter(worker -> now - worker.lastHeartbeatMicros >= limits.heartbeatTimeoutMicros())
            .toList();
    lapsed.forEach(this::remove);
    return lapsed;
  }

  /**
   * Disables a worker or enables it again; also holds for a worker of this wid that connects later.
   *
   * @return the worker, or null where none of this wid is connected
   */
  Worker setDisabled(String wid, boolean isDisabled) {
    if (isDisabled) {
      disabledWids.add(wid);
    } else {
      disabledWids.remove(wid);
    }
    Worker worker = workers.get(wid);
    if (worker != null) {
      worker.isDisabled = isDisabled;
    }
    return worker;
  }

  /** The connected worker with a wid, or null. */
  Worker find(String wid) {
    return workers.get(wid);
  }
}
