package loomreel.faktory.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import loomreel.io.ByteQueue;

/** A reply to a command, as RESP (the Redis serialization protocol) frames it. */
public sealed interface Reply {
  /** The command has been carried out, and there is no value to return. */
  Reply OK = new SimpleString("OK");

  /** There is no value: a FETCH without a job. */
  Reply NIL = new Nil();

  /** The most characters of an error, and of texts of a client that are stored or repeated. */
  int MAX_TEXT_CHARS = 256;

  /** Appends the encoded reply. */
  void appendTo(ByteQueue out);

  /** The error {@code ERR message}. */
  static ErrorReply error(String message) {
    return new ErrorReply("ERR " + message);
  }

  /** A JSON document as a bulk string. */
  static Reply json(JsonNode document) {
    return new BulkString(Json.toBytes(document));
  }

  /** Cuts a text of a client to {@link #MAX_TEXT_CHARS}. */
  static String truncate(String text) {
    return text.substring(0, Math.min(text.length(), MAX_TEXT_CHARS));
  }

  /** Cuts a text, and replaces control characters: they would break the framing of a reply. */
  static String sanitize(String text) {
    return truncate(text).replaceAll("\\p{Cntrl}", "?");
  }

  /**
   * A status line.
   *
   * @param text without line ends
   */
  record SimpleString(String text) implements Reply {
    @Override
    public void appendTo(ByteQueue out) {
      out.append(("+" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
    }
  }

  /**
   * A command that was not carried out.
   *
   * @param message the error's code and text; may hold what a client has sent
   */
  record ErrorReply(String message) implements Reply {
    @Override
    public void appendTo(ByteQueue out) {
      out.append(("-" + sanitize(message) + "\r\n").getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Bytes of a known length. */
  final class BulkString implements Reply {
    private static final byte[] LINE_END = {'\r', '\n'};
    private final byte[] value;

    /** Wraps bytes, which must not change afterwards. */
    public BulkString(byte[] value) {
      this.value = value;
    }

    @Override
    public void appendTo(ByteQueue out) {
      out.append(("$" + value.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.append(value);
      out.append(LINE_END);
    }
  }

  /** The null bulk string. */
  record Nil() implements Reply {
    @Override
    public void appendTo(ByteQueue out) {
      out.append("$-1\r\n".getBytes(StandardCharsets.US_ASCII));
    }
  }
}
