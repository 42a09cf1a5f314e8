package loomreel.discovery;

/** Discovery has sent something that is not a valid, current endpoint list. */
final class InvalidEndpointListException extends Exception {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception.
   *
   * @param reason what is wrong, with the value, in one line
   */
  InvalidEndpointListException(String reason) {
    super(reason);
  }

  /** As above, with the parser's error. */
  InvalidEndpointListException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
