package loomreel.http;

import java.nio.ByteBuffer;

/** Reads the lines of chunked coding and its trailer, which may be split anywhere. */
final class LineReader {
  /** The line so far; once it is complete, without its line end. */
  private final StringBuilder line = new StringBuilder();

  /**
   * Consumes bytes up to the end of a line.
   *
   * @param maxLength the longest line, in bytes
   * @param statusIfTooLong the status of the exception for a longer one
   * @return whether the line is complete; {@link #take} returns it then
   * @throws BadMessageException if the line is too long or does not end in CRLF
   */
  boolean read(ByteBuffer in, int maxLength, int statusIfTooLong) throws BadMessageException {
    while (in.hasRemaining()) {
      char next = (char) (in.get() & 0xff);
      if (next == '\n') {
        removeCarriageReturn();
        return true;
      }
      line.append(next);
      if (line.length() > maxLength) {
        throw new BadMessageException(statusIfTooLong, "line too long");
      }
    }
    return false;
  }

  private void removeCarriageReturn() throws BadMessageException {
    int last = line.length() - 1;
    if (last < 0 || line.charAt(last) != '\r') {
      throw new BadMessageException(HttpStatus.BAD_REQUEST, "a line does not end in CRLF");
    }
    line.setLength(last);
  }

  /** Returns the complete line and starts the next one. */
  String take() {
    String complete = line.toString();
    line.setLength(0);
    return complete;
  }
}
