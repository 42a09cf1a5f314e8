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
 * The bytes of a complete exchange with the program, in the order in which the test sends and reads
 * them, compared with a file of {@code src/test/resources/transcripts}.
 *
 * <p>Each message stands under a line with its sender and its receiver. A carriage return is
 * written as {@code \r} and a line feed as {@code \n} followed by a line break, so that every byte
 * shows. {@link #normalized} replaces what differs from run to run by placeholders.
 *
 * <p>With {@code -Dtranscripts.record=true} the files are written instead of compared:
 *
 * <pre>mvn -q -B -o test -Dtest=*TranscriptTest -Dtranscripts.record=true</pre>
 *
 * <p>They record the program's behaviour on the wire: record them again only where it is meant to
 * change, and read the difference.
 */
public final class Transcript {
  /** The name of the program in the transcripts. */
  public static final String PROGRAM = "loomreel";

  private static final Path DIRECTORY = Path.of("src", "test", "resources", "transcripts");
  private static final boolean RECORDING = Boolean.getBoolean("transcripts.record");

  /** A value that differs from run to run: the pattern's second group, replaced by the name. */
  private record Varying(Pattern pattern, String name) {
    Varying(String pattern, String name) {
      this(Pattern.compile(pattern), name);
    }
  }

  /** Values of which each gets one numbered placeholder, so that equal values stay recognizable. */
  private static final List<Varying> NUMBERED =
      List.of(
          new Varying("()(127\\.0\\.0\\.1:\\d+)()", "address"),
          new Varying("(\"jid\":\"| try )([0-9a-f]{16})()", "attempt"),
          new Varying("(\"s\":\")([^\"]+)()", "salt"),
          new Varying("(\"pwdhash\":\")([^\"]+)()", "hash"));

  /** Measured values in what the program sends. */
  private static final List<Varying> MEASURED =
      List.of(
          new Varying("(X-Budget-Ms: )(\\d+)()", "milliseconds"),
          new Varying("(\"budget_ms\":)(\\d+)()", "milliseconds"),
          new Varying("(\"reserve_for\":)(\\d+)()", "seconds"),
          new Varying("(\"updated_at\":\")([^\"]+)()", "time"),
          new Varying("(\"evidence\":\")([^ ]+)()", "time"),
          new Varying("(\"server_utc_time\":\")([^\"]+)()", "time"),
          new Varying("(\"now\":\")([^\"]+)()", "time"),
          new Varying("(\"uptime\":)(\\d+)()", "seconds"),
          new Varying("(\"used_memory_mb\":)(\\d+)()", "megabytes"),
          // The length of a bulk string of JSON that has values in it whose own lengths vary.
          new Varying("(^\\$)(\\d+)(\\r\\n\\{)", "length"));

  private final StringBuilder text = new StringBuilder();
  private final Map<String, String> placeholders = new HashMap<>();
  private final Map<String, Integer> counts = new HashMap<>();

  /** Records the bytes of a message. */
  public void add(String sender, String receiver, String message) {
    StringBuilder shown = new StringBuilder();
    for (char c : normalized(sender, message).toCharArray()) {
      switch (c) {
        case '\r' -> shown.append("\\r");
        case '\n' -> shown.append("\\n\n");
        case '\\' -> shown.append("\\\\");
        default -> shown.append(c < ' ' || c > '~' ? String.format("\\u%04x", (int) c) : c);
      }
    }
    text.append("--- ").append(sender).append(" -> ").append(receiver).append('\n').append(shown);
    text.append(shown.length() == 0 || shown.charAt(shown.length() - 1) == '\n' ? "" : "\n");
  }

  /** Records an event that is no message of the program. */
  public void event(String what) {
    text.append("=== ").append(what.strip()).append('\n');
  }

  /** Sends bytes to the program and records them as a message. */
  public void send(String sender, Socket socket, String message) throws IOException {
    add(sender, PROGRAM, message);
    HttpIo.write(socket, message);
  }

  /** Records a message of the program; null records the end of the connection. */
  public HttpMessage receive(String receiver, HttpMessage message) {
    if (message == null) {
      event(PROGRAM + " closes the connection of " + receiver);
    } else {
      add(PROGRAM, receiver, message.head() + message.body());
    }
    return message;
  }

  /** Reads and records the next message of the program on this connection. */
  public HttpMessage receive(String receiver, Socket socket) throws IOException {
    return receive(receiver, HttpIo.read(socket));
  }

  /** Sends the response of a stub and records its status, headers and body as an event. */
  public void respond(
      String sender, HttpMessage request, int status, String body, String... headers)
      throws IOException {
    event(sender + " answers " + status + " " + String.join(", ", headers) + body);
    request.respond(status, body, headers);
  }

  /** Compares the transcript with the file of this name, or writes the file. */
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
    for (Varying varying : NUMBERED) {
      result = replaced(result, varying, value -> numbered(varying.name(), value));
    }
    for (Varying varying : sender.endsWith(PROGRAM) ? MEASURED : List.<Varying>of()) {
      result = replaced(result, varying, value -> varying.name());
    }
    return result;
  }

  private String numbered(String name, String value) {
    return placeholders.computeIfAbsent(
        value, v -> name + "-" + counts.merge(name, 1, Integer::sum));
  }

  private static String replaced(
      String message, Varying varying, UnaryOperator<String> placeholder) {
    Matcher matcher = varying.pattern().matcher(message);
    return matcher.replaceAll(
        found ->
            Matcher.quoteReplacement(
                found.group(1) + "<" + placeholder.apply(found.group(2)) + ">" + found.group(3)));
  }
}
