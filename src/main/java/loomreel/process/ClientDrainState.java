package loomreel.process;

/**
 * The progress of a client drain, which operators start and stop. {@link #next} holds all
 * transitions; a trigger for which the table has no entry leaves the state as it is.
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
  /** Clients are served. */
  ACCEPTING,

  /** The health check and each response ask clients to disconnect; jobs are still accepted. */
  NOTIFYING,

  /** Idle connections have been closed; jobs are rejected. */
  REJECTING;

  /** What moves a client drain from one state to the next. */
  enum Trigger {
    /** Operators have started the drain. */
    DRAIN_STARTED,

    /** Operators have stopped the drain. */
    DRAIN_STOPPED,

    /** Clients have had the time to notice the drain. */
    NOTICE_PERIOD_ENDED
  }

  /** The state after a trigger, by the table above. */
  ClientDrainState next(Trigger trigger) {
    return switch (trigger) {
      case DRAIN_STARTED -> this == ACCEPTING ? NOTIFYING : this;
      case DRAIN_STOPPED -> ACCEPTING;
      case NOTICE_PERIOD_ENDED -> this == NOTIFYING ? REJECTING : this;
    };
  }
}
