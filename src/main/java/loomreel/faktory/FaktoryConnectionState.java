package loomreel.faktory;

import java.util.EnumSet;
import java.util.Set;

/**
 * What a {@link FaktoryConnection} is doing. Commands of one connection are answered in order, so
 * it is busy with at most one of them; what arrives meanwhile is buffered.
 *
 * <table>
 * <caption>Transitions</caption>
 * <tr><th>from</th><th>event</th><th>to</th></tr>
 * <tr><td>AWAITING_HELLO</td><td>HELLO accepted</td><td>READY</td></tr>
 * <tr><td>AWAITING_HELLO</td><td>HELLO rejected, or too late</td><td>CLOSING</td></tr>
 * <tr><td>READY</td><td>PUSH accepted</td><td>PERSISTING_PUSH</td></tr>
 * <tr><td>READY</td><td>PUSHB</td><td>IN_BATCH</td></tr>
 * <tr><td>READY</td><td>FETCH, and no job is waiting</td><td>AWAITING_JOB</td></tr>
 * <tr><td>READY</td><td>END, a malformed line, or a command that times out</td><td>CLOSING</td></tr>
 * <tr><td>PERSISTING_PUSH</td><td>the job is durable</td><td>READY</td></tr>
 * <tr><td>IN_BATCH</td><td>all jobs are durable, or the batch is malformed</td><td>READY</td></tr>
 * <tr><td>AWAITING_JOB</td><td>a job, the fetch timeout, or the worker drains</td><td>READY</td></tr>
 * <tr><td>CLOSING</td><td>a timeout before the last reply is written</td><td>CLOSING</td></tr>
 * <tr><td>any</td><td>the connection is closed from either side</td><td>CLOSED</td></tr>
 * </table>
 */
enum FaktoryConnectionState {
  /** Connected; nothing but HELLO is accepted. */
  AWAITING_HELLO,
  /** Authenticated, with no command under way. */
  READY,
  /** A pushed job is being made durable before it is acknowledged. */
  PERSISTING_PUSH,
  /** A batch of jobs is being read, pushed and made durable. */
  IN_BATCH,
  /** A FETCH waits for a job. */
  AWAITING_JOB,
  /** Input is ignored; replies that are still buffered are written before the close. */
  CLOSING,
  /** The channel is closed. */
  CLOSED;

  private Set<FaktoryConnectionState> successors() {
    return switch (this) {
      case AWAITING_HELLO -> EnumSet.of(READY, CLOSING, CLOSED);
      case READY -> EnumSet.of(PERSISTING_PUSH, IN_BATCH, AWAITING_JOB, CLOSING, CLOSED);
      case PERSISTING_PUSH, IN_BATCH, AWAITING_JOB -> EnumSet.of(READY, CLOSED);
      case CLOSING -> EnumSet.of(CLOSING, CLOSED);
      case CLOSED -> EnumSet.of(CLOSED);
    };
  }

  /** Whether the table of transitions leads from here to {@code next}. */
  boolean canBecome(FaktoryConnectionState next) {
    return successors().contains(next);
  }

  /**
   * Checks a transition.
   *
   * @return {@code next}
   * @throws IllegalStateException if the table of transitions does not have it
   */
  FaktoryConnectionState become(FaktoryConnectionState next) {
    if (!canBecome(next)) {
      throw new IllegalStateException("a connection cannot go from " + this + " to " + next);
    }
    return next;
  }

  /** Whether a command is under way, so that further ones have to wait. */
  boolean isBusy() {
    return this == PERSISTING_PUSH || this == IN_BATCH || this == AWAITING_JOB;
  }

  /** Whether what the client sends is still read. */
  boolean acceptsInput() {
    return this != CLOSING && this != CLOSED;
  }
}
