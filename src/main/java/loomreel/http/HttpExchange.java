package loomreel.http;

import loomreel.decision.AttemptOutcome;

/**
 * A request that is sent by a {@link ConnectionPool}, and the handler of its result. It ends with
 * one call of {@link #responseReceived} or {@link #failed}, or without a call if its connection is
 * abandoned. Times are in microseconds of the loop's clock.
 */
public interface HttpExchange {
  /** Returns the time at which to stop waiting for the response. */
  long deadline();

  /**
   * Returns the time at which to give up the request if it is not written completely. The {@link
   * #deadline} by default.
   */
  default long writeDeadline() {
    return deadline();
  }

  /** Called when the last byte of the request is written. Does nothing by default. */
  default void requestWritten() {}

  /**
   * Called when the head of the response has arrived, but not the end of its body.
   *
   * @return whether the status is sufficient, so that a malformed or missing body does not matter;
   *     the wait for the body is then shortened, but the exchange still ends as usual. False by
   *     default.
   */
  default boolean headReceived(int status) {
    return false;
  }

  /** Called with the complete response. Its body is released after the call. */
  void responseReceived(HttpMessage message);

  /**
   * Called when the exchange ends without a response.
   *
   * @param outcome {@code CONNECT_FAILED} if the request cannot have run, {@code RESET} or {@code
   *     TIMEOUT} if it may have run
   */
  void failed(AttemptOutcome outcome);
}
