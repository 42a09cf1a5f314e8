package loomreel.server;

/**
 * The life-cycle states of a dispatcher process. {@link #next} holds all transitions; a trigger for
 * which the table has no entry leaves the state as it is.
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
  /** The first endpoint list is awaited: jobs are accepted and wait for workers. */
  STARTING,

  /** Ready for clients. */
  SERVING,

  /** Shutdown requested in {@link #STARTING}; the list may still arrive in the grace period. */
  DRAINING_UNOPENED,

  /** Shutdown requested without a successor: serves as before until the grace period ends. */
  DRAINING,

  /** Shutdown requested with a successor, which accepts all new connections. */
  HANDING_OVER,

  /** Idle connections are closed; the process ends as soon as nothing is pending. */
  CLOSING,

  /** Nothing is pending: the event loop ends. */
  STOPPED;

  /** What moves a process from one state to the next. */
  enum Trigger {
    /** The first endpoint list was received: jobs can be sent. */
    ENDPOINTS_KNOWN,

    /** A shutdown was requested and no successor serves beside this process. */
    SHUTDOWN_REQUESTED,

    /** A shutdown was requested and a successor serves beside this process. */
    HANDOVER_REQUESTED,

    /** Clients have had the time to notice the shutdown. */
    GRACE_PERIOD_ENDED,

    /** No job, answer or connection is pending any more, or the process can wait no longer. */
    EMPTIED
  }

  /** The state after a trigger, by the table above. */
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

  /** Whether the process reports itself as ready. */
  boolean isReady() {
    return this == SERVING || this == DRAINING;
  }

  /** Whether the first endpoint list has been received, or is not awaited any more. */
  boolean hasEndpoints() {
    return this != STARTING && this != DRAINING_UNOPENED;
  }

  /** Whether every connection closes when it falls idle. */
  boolean isClosing() {
    return this == HANDING_OVER || this == CLOSING || this == STOPPED;
  }

  /** Whether a shutdown has been requested, which cannot be revoked. */
  boolean isShutdownRequested() {
    return this != STARTING && this != SERVING;
  }
}
