package loomreel.standin;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A client's reader of RESP version 2, the framing of Faktory's replies. Lengths and nesting are
 * limited, whatever the server announces.
 */
public final class RespReader {
  private static final int MAX_STRING_BYTES = 16 << 20;
  private static final int MAX_LINE_BYTES = 64 << 10;
  private static final int MAX_ITEMS = 10_000;
  private static final int MAX_DEPTH = 4;

  /** A reply that reports an error. */
  public record ErrorReply(String message) {}

  private RespReader() {}

  /**
   * Reads the next reply: a String, a Long, an {@link ErrorReply}, a List of replies, or null.
   *
   * @throws IOException if the stream ends or its content is not RESP within the limits
   */
  public static Object read(InputStream in) throws IOException {
    return read(in, 0);
  }

  private static Object read(InputStream in, int depth) throws IOException {
    int type = in.read();
    if (type < 0) {
      throw new EOFException("the connection has ended");
    }
    String line = line(in);
    switch (type) {
      case '+' -> {
        return line;
      }
      case '-' -> {
        return new ErrorReply(line);
      }
      case ':' -> {
        return number(line, Long.MIN_VALUE, Long.MAX_VALUE);
      }
      case '$' -> {
        int length = (int) number(line, -1, MAX_STRING_BYTES);
        if (length < 0) {
          return null;
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length || in.read() != '\r' || in.read() != '\n') {
          throw new EOFException("a bulk string that is cut short");
        }
        return new String(bytes, StandardCharsets.UTF_8);
      }
      case '*' -> {
        int size = (int) number(line, -1, MAX_ITEMS);
        if (depth >= MAX_DEPTH) {
          throw new IOException("arrays nested more than " + MAX_DEPTH + " deep");
        }
        List<Object> items = size < 0 ? null : new ArrayList<>();
        for (int i = 0; i < size; i++) {
          items.add(read(in, depth + 1));
        }
        return items;
      }
      default -> throw new IOException("no RESP: " + (char) type);
    }
  }

  private static long number(String text, long min, long max) throws IOException {
    try {
      long value = Long.parseLong(text);
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below, like a number out of bounds.
    }
    throw new IOException("a number out of bounds: " + text);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0 || line.size() > MAX_LINE_BYTES) {
        throw new EOFException("a line that does not end");
      }
      line.write(b);
    }
    String text = line.toString(StandardCharsets.UTF_8);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }
}
