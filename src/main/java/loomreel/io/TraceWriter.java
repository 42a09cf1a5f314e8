package loomreel.io;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;

/**
 * Writes the events of one dispatcher as trace lines in JSON. The command {@code loomreel
 * trace-summary} aggregates the trace lines of a fleet. Tracing is off by default, and {@link
 * EventLoop#trace} then returns null. Callers check for null before they build the arguments of a
 * line. Used on the event loop's thread only. Tests extend this class to run actions between two
 * events.
 */
public class TraceWriter {
  /** The factor by which numbers are scaled to round them to three decimal places. */
  private static final double ROUNDING_FACTOR = 1000.0;

  private final JsonGenerator json;

  /**
   * Creates a writer to a stream. The event loop flushes the writer once per iteration. The writer
   * never closes the stream.
   *
   * @throws UncheckedIOException if the JSON generator cannot be created
   */
  public TraceWriter(OutputStream out) {
    try {
      json =
          new JsonFactory().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET).createGenerator(out);
      json.setRootValueSeparator(null);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Writes a line. If the line cannot be written, the failure is ignored.
   *
   * @param atMicros the time of the event, in microseconds of the loop's clock
   * @param event the kind of event
   * @param fields alternating names and values of the fields. A field whose value is null or NaN is
   *     omitted. A {@link Double} is rounded to three decimal places, any other number is written
   *     as an integer, and any other value is written as a string.
   */
  public void line(long atMicros, String event, Object... fields) {
    try {
      json.writeStartObject();
      json.writeNumberField("at", atMicros);
      json.writeStringField("trace", event);
      for (int i = 0; i < fields.length; i += 2) {
        writeField((String) fields[i], fields[i + 1]);
      }
      json.writeEndObject();
      json.writeRaw('\n');
    } catch (IOException e) {
      // Tracing is best effort. The dispatcher keeps running if a line cannot be written.
    }
  }

  private void writeField(String name, Object value) throws IOException {
    if (value instanceof Double number) {
      if (!number.isNaN()) {
        json.writeNumberField(name, Math.round(number * ROUNDING_FACTOR) / ROUNDING_FACTOR);
      }
    } else if (value instanceof Number number) {
      json.writeNumberField(name, number.longValue());
    } else if (value != null) {
      json.writeStringField(name, value.toString());
    }
  }

  /** Flushes all lines to the stream. */
  public void flush() {
    try {
      json.flush();
    } catch (IOException e) {
      // Ignored for the same reason as in line().
    }
  }
}
