package loomreel.http;

/**
 * Thrown for input that the parser rejects: the input violates HTTP/1.1, uses a version or transfer
 * coding that is not supported, exceeds a size limit, or cannot be buffered because buffers are
 * scarce. The start of the next message is then unknown, so the connection cannot be used any
 * further.
 */
public final class BadMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int status;

  BadMessageException(int status, String message) {
    super(message);
    this.status = status;
  }

  /** Returns the HTTP status code of the response to a client that has sent the rejected input. */
  public int status() {
    return status;
  }
}
