package loomreel.process;

/**
 * The states of a client drain, which operators start and stop to direct clients to other
 * dispatchers. {@link #next} implements the transitions in the following table. A trigger that has
 * no entry for a state leaves the state unchanged.
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
  /** No client drain is in progress. Clients are served. */
  ACCEPTING,

  /**
   * A drain is in progress, and its notice period has not ended. The readiness check for clients
   * fails, and each response to a client is the last one on its connection, so that clients move to
   * other dispatchers. Jobs are still accepted.
   */
  NOTIFYING,

  /**
   * A drain is in progress, and jobs are rejected. The process enters this state when the notice
   * period ends, and closes idle client connections at that time. If the drain began in an earlier
   * process, this is the initial state.
   */
  REJECTING;

  /** An event that changes the state of a client drain. */
  enum Trigger {
    /** Operators have started the drain. */
    DRAIN_STARTED,

    /** Operators have stopped the drain. */
    DRAIN_STOPPED,

    /**
     * The notice period has ended. It gives clients the time to notice the drain and to move to
     * other dispatchers.
     */
    NOTICE_PERIOD_ENDED
  }

  /** Returns the state after a trigger, as listed in the transition table of this enum. */
  ClientDrainState next(Trigger trigger) {
    return switch (trigger) {
      case DRAIN_STARTED -> this == ACCEPTING ? NOTIFYING : this;
      case DRAIN_STOPPED -> ACCEPTING;
      case NOTICE_PERIOD_ENDED -> this == NOTIFYING ? REJECTING : this;
    };
  }
}
