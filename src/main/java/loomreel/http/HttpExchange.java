package loomreel.http;

import loomreel.decision.AttemptOutcome;

/**
 * An exchange of one request and its response over a {@link ConnectionPool}. Implementations handle
 * the result. The exchange ends with one call of {@link #responseReceived} or {@link #failed}. If
 * its connection is abandoned ({@link PooledConnection#abandon}), the exchange ends without a call.
 * Times are in microseconds of the loop's clock.
 */
public interface HttpExchange {
  /** Returns the time at which the exchange fails if the response is not complete by then. */
  long deadline();

  /**
   * Returns the time at which the exchange fails if the request is not written completely by then.
   * Returns the {@link #deadline} by default.
   */
  default long writeDeadline() {
    return deadline();
  }

  /** Called when the last byte of the request is written. Does nothing by default. */
  default void requestWritten() {}

  /**
   * Called when the request is written completely and the head of the response has arrived, but not
   * the end of its body.
   *
   * @return true if the exchange needs only the status, so that a malformed or missing body does
   *     not matter. The wait for the body is then shortened, but the exchange still ends with
   *     {@link #responseReceived} or {@link #failed}. False by default.
   */
  default boolean headReceived(int status) {
    return false;
  }

  /** Called with the complete response. The body of the response is released after the call. */
  void responseReceived(HttpMessage message);

  /**
   * Called when the exchange ends without a complete response.
   *
   * @param outcome {@code CONNECT_FAILED} if the request cannot have run, because no connection was
   *     available or the request was not written completely; {@code RESET} or {@code TIMEOUT} if
   *     the request may have run
   */
  void failed(AttemptOutcome outcome);
}
