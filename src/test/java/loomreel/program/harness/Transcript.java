package loomreel.program.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A text that records the messages between a test and the program, in the order in which the test
 * sends and reads them. {@link #check} compares the text with a file in {@code
 * src/test/resources/transcripts}.
 *
 * <p>The text contains two kinds of entries:
 *
 * <ul>
 *   <li>A message starts with the line {@code --- SENDER -> RECEIVER}. The text of the message
 *       follows, except that values that differ from run to run are replaced by placeholders. A
 *       carriage return is written as {@code \r}, a line feed as {@code \n} followed by a line
 *       break, and a backslash as two backslashes. Other characters outside of printable ASCII are
 *       written as Unicode escapes. Every character is therefore visible. {@link HttpIo#read}
 *       decodes bodies as UTF-8, so that a non-ASCII character in a body appears as one escape, not
 *       as one escape for each byte. A character outside the Basic Multilingual Plane appears as
 *       two escapes.
 *   <li>An event is a line that starts with {@code ===}. Events describe what is not recorded as a
 *       message, for example a closed connection, a signal or the response of a stub.
 * </ul>
 *
 * <p>With {@code -Dtranscripts.record=true}, {@link #check} writes the files instead of comparing
 * them:
 *
 * <pre>mvn -q -B -o test -Dtest=*TranscriptTest -Dtranscripts.record=true</pre>
 *
 * <p>The files specify the behaviour of the program on the wire. Record the files again only if
 * this behaviour is meant to change, and review how the files differ from the previous ones.
 */
public final class Transcript {
  /** The name of the program as sender and receiver in a transcript. */
  public static final String PROGRAM = "loomreel";

  private static final Path DIRECTORY = Path.of("src", "test", "resources", "transcripts");
  private static final boolean RECORDING = Boolean.getBoolean("transcripts.record");

  /**
   * A kind of value that differs from run to run.
   *
   * @param pattern a pattern with three groups. The second group matches the value. The first and
   *     the third group match the text before and after the value. Only the value is replaced.
   * @param name the name of the placeholder that replaces the value
   */
  private record VaryingValue(Pattern pattern, String name) {
    VaryingValue(String pattern, String name) {
      this(Pattern.compile(pattern), name);
    }
  }

  /**
   * The values that are replaced in all messages. Each placeholder contains a number. Equal values
   * get the same placeholder, so that a reader can recognize equal values.
   */
  private static final List<VaryingValue> NUMBERED =
      List.of(
          new VaryingValue("()(127\\.0\\.0\\.1:\\d+)()", "address"),
          new VaryingValue("(\"jid\":\"| try )([0-9a-f]{16})()", "attempt"),
          new VaryingValue("(\"s\":\")([^\"]+)()", "salt"),
          new VaryingValue("(\"pwdhash\":\")([^\"]+)()", "hash"));

  /**
   * The times, durations and other measured values that are replaced only in messages that the
   * program sends. The placeholders contain no number.
   */
  private static final List<VaryingValue> MEASURED =
      List.of(
          new VaryingValue("(X-Budget-Ms: )(\\d+)()", "milliseconds"),
          new VaryingValue("(\"budget_ms\":)(\\d+)()", "milliseconds"),
          new VaryingValue("(\"reserve_for\":)(\\d+)()", "seconds"),
          new VaryingValue("(\"updated_at\":\")([^\"]+)()", "time"),
          new VaryingValue("(\"evidence\":\")([^ ]+)()", "time"),
          new VaryingValue("(\"server_utc_time\":\")([^\"]+)()", "time"),
          new VaryingValue("(\"now\":\")([^\"]+)()", "time"),
          new VaryingValue("(\"uptime\":)(\\d+)()", "seconds"),
          new VaryingValue("(\"used_memory_mb\":)(\\d+)()", "megabytes"),
          // The length of a bulk string that contains JSON. The values in the JSON differ in length
          // from run to run.
          new VaryingValue("(^\\$)(\\d+)(\\r\\n\\{)", "length"));

  private final StringBuilder text = new StringBuilder();
  private final Map<String, String> placeholdersByValue = new HashMap<>();
  private final Map<String, Integer> placeholderCounts = new HashMap<>();

  /** Records a message. Values that differ from run to run are replaced by placeholders. */
  public void add(String sender, String receiver, String message) {
    StringBuilder escaped = new StringBuilder();
    for (char c : normalized(sender, message).toCharArray()) {
      switch (c) {
        case '\r' -> escaped.append("\\r");
        case '\n' -> escaped.append("\\n\n");
        case '\\' -> escaped.append("\\\\");
        default -> escaped.append(c < ' ' || c > '~' ? String.format("\\u%04x", (int) c) : c);
      }
    }
    text.append("--- ").append(sender).append(" -> ").append(receiver).append('\n').append(escaped);
    text.append(escaped.length() == 0 || escaped.charAt(escaped.length() - 1) == '\n' ? "" : "\n");
  }

  /**
   * Records something that is not recorded as a message, for example a signal.
   *
   * @param description the text of the event; whitespace at both ends is removed
   */
  public void event(String description) {
    text.append("=== ").append(description.strip()).append('\n');
  }

  /** Records a message and sends it to the program. */
  public void send(String sender, Socket socket, String message) throws IOException {
    add(sender, PROGRAM, message);
    HttpIo.write(socket, message);
  }

  /**
   * Records a message that the program sent, or the event that the program closed a connection.
   *
   * @param receiver the name of the receiver in the transcript
   * @param message the message, or null to record that the program closed the connection
   * @return {@code message}
   */
  public HttpMessage receive(String receiver, HttpMessage message) {
    if (message == null) {
      event(PROGRAM + " closes the connection of " + receiver);
    } else {
      add(PROGRAM, receiver, message.head() + message.body());
    }
    return message;
  }

  /**
   * Reads the next message of the program from a connection and records this message. If the
   * program closed the connection, records that event instead.
   *
   * @return the message, or null if the program closed the connection
   */
  public HttpMessage receive(String receiver, Socket socket) throws IOException {
    return receive(receiver, HttpIo.read(socket));
  }

  /**
   * Records the response of a stub and sends the response. It is recorded as an event that contains
   * the status, the headers and the body.
   */
  public void respond(
      String sender, HttpMessage request, int status, String body, String... headers)
      throws IOException {
    event(sender + " answers " + status + " " + String.join(", ", headers) + body);
    request.respond(status, body, headers);
  }

  /**
   * Asserts that the text of this transcript is equal to the content of a file. If the system
   * property {@code transcripts.record} is true, writes the text to the file instead.
   *
   * @param name the name of the file without its extension
   */
  public void check(String name) throws IOException {
    Path file = DIRECTORY.resolve(name + ".txt");
    if (RECORDING) {
      Files.writeString(file, text);
    } else {
      assertEquals(Files.readString(file), text.toString(), file.toString());
    }
  }

  private String normalized(String sender, String message) {
    String result = message;
    for (VaryingValue varying : NUMBERED) {
      result = replaced(result, varying, value -> numberedPlaceholder(varying.name(), value));
    }
    for (VaryingValue varying : sender.endsWith(PROGRAM) ? MEASURED : List.<VaryingValue>of()) {
      result = replaced(result, varying, value -> varying.name());
    }
    return result;
  }

  private String numberedPlaceholder(String name, String value) {
    return placeholdersByValue.computeIfAbsent(
        value, ignored -> name + "-" + placeholderCounts.merge(name, 1, Integer::sum));
  }

  private static String replaced(
      String message, VaryingValue varying, UnaryOperator<String> placeholder) {
    Matcher matcher = varying.pattern().matcher(message);
    return matcher.replaceAll(
        found ->
            Matcher.quoteReplacement(
                found.group(1) + "<" + placeholder.apply(found.group(2)) + ">" + found.group(3)));
  }
}
