package loomreel.http;

import java.nio.ByteBuffer;

/**
 * Reads the lines of a chunked body: the line with the size of a chunk, the empty line after the
 * data of a chunk, and the lines of the trailer. The input may be split at any byte.
 */
final class LineReader {
  /** The part of the line that has arrived. A complete line does not include its line end. */
  private final StringBuilder line = new StringBuilder();

  /**
   * Consumes bytes up to the end of a line.
   *
   * @param maxLength the maximum length of the line, in bytes including its carriage return
   * @param statusIfTooLong the {@linkplain BadMessageException#status status} of the exception that
   *     is thrown if the line is longer
   * @return whether the line is complete; if so, {@link #take} returns the line
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

  /** Returns the complete line without its line end, and starts the next line. */
  String take() {
    String complete = line.toString();
    line.setLength(0);
    return complete;
  }
}
