package loomreel.http;

import loomreel.decision.AttemptOutcome;

/**
 * A request made over a {@link ConnectionPool}. It ends with one call of {@link #responseReceived}
 * or {@link #failed}. Times are microseconds of the loop's clock.
 */
public interface HttpExchange {
  /** When to stop waiting for the response. */
  long deadline();

  /** When to give up a request that is not written completely. */
  default long writeDeadline() {
    return deadline();
  }

  /** Called when the last byte of the request is written. */
  default void requestWritten() {}

  /**
   * Called when the head of the response has arrived without the end of its body.
   *
   * @return whether the head is sufficient: the exchange still ends as usual, but a body that is
   *     malformed or missing does not matter
   */
  default boolean headReceived(int status) {
    return false;
  }

  /** Called with the response, whose body is released afterwards. */
  void responseReceived(HttpMessage message);

  /**
   * Called where there is no response.
   *
   * @param outcome {@code CONNECT_FAILED} (nothing ran), {@code RESET} or {@code TIMEOUT}
   */
  void failed(AttemptOutcome outcome);
}
