package loomreel.process;

/**
 * The states of a client drain, which operators start and stop. {@link #next} implements the
 * transitions in the table; a trigger without an entry leaves the state unchanged.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>State</th><th>Trigger</th><th>Next state</th></tr>
 *   <tr><td>ACCEPTING</td><td>DRAIN_STARTED</td><td>NOTIFYING</td></tr>
 *   <tr><td>NOTIFYING</td><td>NOTICE_PERIOD_ENDED</td><td>REJECTING</td></tr>
 *   <tr><td>NOTIFYING</td><td>DRAIN_STOPPED</td><td>ACCEPTING</td></tr>
 *   <tr><td>REJECTING</td><td>DRAIN_STOPPED</td><td>ACCEPTING</td></tr>
 * </table>
 */
enum ClientDrainState {
  /** No drain is in progress, and clients are served. */
  ACCEPTING,

  /**
   * The readiness check fails and each response closes its client's connection, so that clients
   * move to other dispatchers. Jobs are still accepted.
   */
  NOTIFYING,

  /** Jobs are rejected, and idle client connections have been closed. */
  REJECTING;

  /** An event that changes the state of a client drain. */
  enum Trigger {
    /** Operators have started the drain. */
    DRAIN_STARTED,

    /** Operators have stopped the drain. */
    DRAIN_STOPPED,

    /** The notice period, in which clients can notice the drain, has ended. */
    NOTICE_PERIOD_ENDED
  }

  /** Returns the state that follows after a trigger, as listed in the table above. */
  ClientDrainState next(Trigger trigger) {
    return switch (trigger) {
      case DRAIN_STARTED -> this == ACCEPTING ? NOTIFYING : this;
      case DRAIN_STOPPED -> ACCEPTING;
      case NOTICE_PERIOD_ENDED -> this == NOTIFYING ? REJECTING : this;
    };
  }
}
