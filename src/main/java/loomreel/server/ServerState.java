package loomreel.server;

/**
 * The life-cycle states of a dispatcher process. {@link #next} implements the transitions in the
 * table; a trigger without an entry leaves the state unchanged.
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
  /** The first endpoint list is not known yet. Jobs are accepted and wait for workers. */
  STARTING,

  /** The process is ready for clients. */
  SERVING,

  /**
   * A shutdown was requested in {@link #STARTING}. The first endpoint list may still arrive in the
   * grace period.
   */
  DRAINING_UNOPENED,

  /**
   * A shutdown was requested without a successor. The process serves as before until the grace
   * period ends.
   */
  DRAINING,

  /** A shutdown was requested with a successor, which accepts all new connections. */
  HANDING_OVER,

  /** Idle connections are closed. The process ends as soon as nothing is pending. */
  CLOSING,

  /** Nothing is pending, and the event loop stops. */
  STOPPED;

  /** An event that changes the state of a process. */
  enum Trigger {
    /** The first endpoint list is known, so jobs can be sent. */
    ENDPOINTS_KNOWN,

    /** A shutdown was requested, and no successor is connected. */
    SHUTDOWN_REQUESTED,

    /** A shutdown was requested, and a successor is connected. */
    HANDOVER_REQUESTED,

    /** The grace period, in which clients can notice the shutdown, has ended. */
    GRACE_PERIOD_ENDED,

    /** No job, answer or connection is pending any more, or the process cannot wait any longer. */
    EMPTIED
  }

  /** Returns the state that follows after a trigger, as listed in the table above. */
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

  /** Returns whether the process reports itself as ready. */
  boolean isReady() {
    return this == SERVING || this == DRAINING;
  }

  /** Returns whether the first endpoint list is known or is no longer awaited. */
  boolean hasEndpoints() {
    return this != STARTING && this != DRAINING_UNOPENED;
  }

  /** Returns whether each connection is closed when it becomes idle. */
  boolean isClosing() {
    return this == HANDING_OVER || this == CLOSING || this == STOPPED;
  }

  /** Returns whether a shutdown has been requested. A request cannot be revoked. */
  boolean isShutdownRequested() {
    return this != STARTING && this != SERVING;
  }
}
