package loomreel.tracing;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A trace line, which a dispatcher writes if it was started with {@code serve --trace}.
 *
 * @param dispatcher the name of the dispatcher that wrote the line
 * @param unixMicros the time of the event, in microseconds of Unix time, from the field {@code at}
 * @param kind the kind of event, from the field {@code trace}
 * @param fields the values of the other fields, by the name of the field
 */
public record TraceLine(
    String dispatcher, long unixMicros, String kind, Map<String, String> fields) {
  private static final JsonFactory JSON = new JsonFactory();

  /** The start of every trace line. In a log, other text may precede the trace line. */
  private static final String LINE_START = "{\"at\":";

  /**
   * Parses a line of a log.
   *
   * @param dispatcher the name of the dispatcher that wrote the log
   * @return the trace line; empty if the line of the log has no trace line, or if the trace line is
   *     truncated because the process that wrote it was killed
   */
  public static Optional<TraceLine> parse(String dispatcher, String logLine) {
    int start = logLine.indexOf(LINE_START);
    if (start < 0) {
      return Optional.empty();
    }
    try (JsonParser json = JSON.createParser(logLine.substring(start))) {
      Map<String, String> fields = new HashMap<>();
      json.nextToken();
      while (json.nextToken() == JsonToken.FIELD_NAME) {
        String name = json.currentName();
        json.nextToken();
        fields.put(name, json.getText());
      }
      String kind = fields.remove("trace");
      if (json.currentToken() != JsonToken.END_OBJECT || kind == null) {
        return Optional.empty();
      }
      return Optional.of(
          new TraceLine(dispatcher, Long.parseLong(fields.remove("at")), kind, fields));
    } catch (IOException | NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns the value of a field, or null if the line has no such field. */
  String text(String name) {
    return fields.get(name);
  }

  /**
   * Returns the value of a numeric field, or 0 if the line has no such field.
   *
   * @throws NumberFormatException if the value is not a number
   */
  double number(String name) {
    String text = fields.get(name);
    return text == null ? 0 : Double.parseDouble(text);
  }
}
