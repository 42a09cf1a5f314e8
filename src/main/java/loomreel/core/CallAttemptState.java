package loomreel.core;

/**
 * The states of a {@link CallAttempt}.
 *
 * <table>
 *   <caption>Transitions; an event that is not listed for a state is ignored</caption>
 *   <tr><th>state</th><th>event</th><th>next state</th></tr>
 *   <tr><td>{@link #OPEN}</td><td>the worker accepts the job</td><td>{@link #ACCEPTED}</td></tr>
 *   <tr><td>{@link #OPEN}</td><td>the attempt gets an outcome</td><td>{@link #ENDED}</td></tr>
 *   <tr><td>{@link #ACCEPTED}</td><td>the attempt gets an outcome, or its deadline passes</td>
 *       <td>{@link #ENDED}</td></tr>
 * </table>
 */
enum CallAttemptState {
  /**
   * The worker has not accepted the job. The {@link Subchannel} enforces the deadline of the
   * attempt.
   */
  OPEN,
  /**
   * The worker has accepted the job and reports the end of the job later. A timer of the {@link
   * CallAttempt} enforces the deadline.
   */
  ACCEPTED,
  /** The outcome is known and final. */
  ENDED;

  /** Returns whether an attempt in this state may enter the given state. */
  boolean canBecome(CallAttemptState next) {
    return switch (this) {
      case OPEN -> next == ACCEPTED || next == ENDED;
      case ACCEPTED -> next == ENDED;
      case ENDED -> false;
    };
  }
}
