package loomreel.faktory.payload;

/** The payload of a job is not accepted; the message is for the client that pushed it. */
public final class InvalidPayloadException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidPayloadException(String message) {
    super(message, null, false, false);
  }
}
