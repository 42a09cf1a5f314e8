package loomreel.discovery;

/** Thrown if a response of discovery is not a valid and current endpoint list. */
final class InvalidEndpointListException extends Exception {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception without a cause.
   *
   * @param reason a one-line description of the defect, with the invalid value
   */
  InvalidEndpointListException(String reason) {
    super(reason);
  }

  /**
   * Creates an exception that is caused by an error of the parser.
   *
   * @param reason a one-line description of the defect
   * @param cause the error of the parser
   */
  InvalidEndpointListException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
