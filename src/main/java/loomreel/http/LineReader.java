package loomreel.http;

import java.nio.ByteBuffer;

/**
 * Reads the lines of the chunked transfer coding and of its trailer. The input may be split at any
 * byte.
 */
final class LineReader {
  /** The line that has arrived so far; without its line end once it is complete. */
  private final StringBuilder line = new StringBuilder();

  /**
   * Consumes bytes up to the end of a line.
   *
   * @param maxLength the maximum length of the line, in bytes including its carriage return
   * @param statusIfTooLong the status of the exception for a longer line
   * @return whether the line is complete, in which case {@link #take} returns it
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
