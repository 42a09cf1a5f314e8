package loomreel.io;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;

/**
 * Writes the events of one dispatcher as JSON lines, which {@code loomreel trace-summary}
 * summarizes over a fleet. Tracing is off by default: {@link EventLoop#trace} is null then, and
 * callers check that before they build the arguments of a line. Used on the event loop's thread
 * only. Tests subclass it to act between two events.
 */
public class TraceWriter {
  private static final double DECIMALS = 1000.0;

  private final JsonGenerator json;

  /** Creates a writer to a stream, which it flushes once per loop iteration and never closes. */
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
   * Writes a line.
   *
   * @param atMicros the time in microseconds of the loop's clock
   * @param event the kind of line
   * @param fields alternating names and values; fields without a value (null or NaN) are omitted,
   *     numbers are written as numbers, anything else as a string
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
      // Best effort: the dispatcher goes on when nobody reads the trace any more.
    }
  }

  private void writeField(String name, Object value) throws IOException {
    if (value instanceof Double number) {
      if (!number.isNaN()) {
        json.writeNumberField(name, Math.round(number * DECIMALS) / DECIMALS);
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
      // Best effort, as in line().
    }
  }
}
