package loomreel.server;

/**
 * The life-cycle states of a dispatcher process. {@link #next} implements the transitions in the
 * following table. A trigger that has no entry for a state leaves the state unchanged.
 *
 * <p>A successor is a new process that replaces this process in a hot restart. A predecessor is the
 * process that this process replaces.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>State</th><th>Trigger</th><th>Next state</th></tr>
 *   <tr><td>STARTING</td><td>ENDPOINTS_KNOWN</td><td>SERVING</td></tr>
 *   <tr><td>STARTING</td><td>SHUTDOWN_REQUESTED</td><td>DRAINING_UNOPENED</td></tr>
 *   <tr><td>STARTING</td><td>HANDOVER_REQUESTED</td><td>HANDING_OVER</td></tr>
 *   <tr><td>SERVING</td><td>SHUTDOWN_REQUESTED</td><td>DRAINING</td></tr>
 *   <tr><td>SERVING</td><td>HANDOVER_REQUESTED</td><td>HANDING_OVER</td></tr>
 *   <tr><td>DRAINING_UNOPENED</td><td>ENDPOINTS_KNOWN</td><td>DRAINING</td></tr>
 *   <tr><td>DRAINING_UNOPENED</td><td>GRACE_PERIOD_ENDED</td><td>CLOSING</td></tr>
 *   <tr><td>DRAINING</td><td>GRACE_PERIOD_ENDED</td><td>CLOSING</td></tr>
 *   <tr><td>HANDING_OVER</td><td>GRACE_PERIOD_ENDED</td><td>CLOSING</td></tr>
 *   <tr><td>CLOSING</td><td>EMPTIED</td><td>STOPPED</td></tr>
 * </table>
 */
enum ServerState {
  /**
   * The first endpoint list is awaited, and the process reports itself as not ready. If no
   * predecessor is connected, the process accepts connections and jobs nevertheless, and the jobs
   * wait for workers. If a predecessor is connected, only the predecessor accepts connections,
   * until it shuts down.
   */
  STARTING,

  /** The process is ready for clients. */
  SERVING,

  /**
   * A shutdown was requested in {@link #STARTING} while no successor was connected, and the first
   * endpoint list is still awaited. The process reports itself as not ready. It accepts connections
   * and jobs under the same condition as in {@link #STARTING}: no predecessor is connected, or the
   * predecessor has begun to shut down. If the first endpoint list becomes known before the grace
   * period ends, the process changes to {@link #DRAINING} and reports itself as ready.
   */
  DRAINING_UNOPENED,

  /**
   * A shutdown was requested while no successor was connected, and {@link Trigger#ENDPOINTS_KNOWN}
   * has occurred. HTTP clients are served as in {@link #SERVING} until the grace period ends.
   * Faktory has no grace period: the Faktory ingress drains as soon as the shutdown is requested.
   */
  DRAINING,

  /**
   * A shutdown was requested while a successor was connected. The successor accepts all new
   * connections.
   */
  HANDING_OVER,

  /**
   * The grace period has ended, and idle connections are closed. The process stops as soon as each
   * accepted job has its answer, no HTTP connection is open and the Faktory ingress has no
   * unfinished work. At the time limit of the shutdown, the process stops even if HTTP connections
   * are open or the Faktory ingress has unfinished work.
   */
  CLOSING,

  /**
   * The event loop stops. Each accepted job has its answer. If the time limit of the shutdown was
   * reached, HTTP connections may still be open, and the Faktory ingress may have unfinished work.
   */
  STOPPED;

  /** An event that changes the state of a process. */
  enum Trigger {
    /**
     * The first endpoint list is known, or discovery is unavailable and the last known list is used
     * instead. Jobs can be sent to workers.
     */
    ENDPOINTS_KNOWN,

    /** A shutdown was requested while no successor was connected. */
    SHUTDOWN_REQUESTED,

    /** A shutdown was requested while a successor was connected. */
    HANDOVER_REQUESTED,

    /** The grace period of the shutdown, in which clients can move elsewhere, has ended. */
    GRACE_PERIOD_ENDED,

    /**
     * The process may stop. Each accepted job has its answer. In addition, no HTTP connection is
     * open and the Faktory ingress has no unfinished work, or the time limit of the shutdown has
     * been reached.
     */
    EMPTIED
  }

  /** Returns the state after a trigger, as listed in the transition table of this enum. */
  ServerState next(Trigger trigger) {
    return switch (trigger) {
      case ENDPOINTS_KNOWN -> afterEndpointsKnown();
      case SHUTDOWN_REQUESTED -> afterShutdownRequested();
      case HANDOVER_REQUESTED -> isShutdownRequested() ? this : HANDING_OVER;
      case GRACE_PERIOD_ENDED -> isShutdownRequested() && this != STOPPED ? CLOSING : this;
      case EMPTIED -> this == CLOSING ? STOPPED : this;
    };
  }

  private ServerState afterEndpointsKnown() {
    return switch (this) {
      case STARTING -> SERVING;
      case DRAINING_UNOPENED -> DRAINING;
      default -> this;
    };
  }

  private ServerState afterShutdownRequested() {
    return switch (this) {
      case STARTING -> DRAINING_UNOPENED;
      case SERVING -> DRAINING;
      default -> this;
    };
  }

  /** Returns whether the process reports itself to operators as ready. */
  boolean isReady() {
    return this == SERVING || this == DRAINING;
  }

  /**
   * Returns whether the startup of the process is over. It is over if the process does not wait for
   * the first endpoint list: either the list is known, or a shutdown has ended the wait.
   */
  boolean isStartupOver() {
    return this != STARTING && this != DRAINING_UNOPENED;
  }

  /**
   * Returns whether an HTTP connection is closed as soon as it becomes idle, that is, as soon as no
   * request is being received or processed on the connection. This is the case in {@link
   * #HANDING_OVER} and from the end of the grace period on. A connection that was already idle when
   * the state changed to {@link #HANDING_OVER} stays open at first. It is closed after its next
   * response, or when the grace period ends.
   */
  boolean closesConnectionsWhenIdle() {
    return this == HANDING_OVER || this == CLOSING || this == STOPPED;
  }

  /**
   * Returns whether a shutdown has been requested, no matter whether a successor was connected. A
   * requested shutdown cannot be cancelled.
   */
  boolean isShutdownRequested() {
    return this != STARTING && this != SERVING;
  }
}
