package loomreel.http;

/**
 * Thrown for input that violates HTTP/1.1 or exceeds a limit. The start of the next message cannot
 * be found after such input, so the connection cannot be used any further.
 */
public final class BadMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int status;

  BadMessageException(int status, String message) {
    super(message);
    this.status = status;
  }

  /** Returns the HTTP status code of the response to a client that sent this input. */
  public int status() {
    return status;
  }
}
