package loomreel.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Writes a map of metrics as a JSON object. The fields of the object have the same order as the
 * entries of the map.
 */
final class MetricsJson {
  private static final JsonFactory FACTORY = new JsonFactory();

  private MetricsJson() {}

  /**
   * Returns metrics as JSON text.
   *
   * @param metrics the values by name; a value is a number, which is written as an integer, or a
   *     nested map
   */
  static String write(Map<?, ?> metrics) {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try (JsonGenerator json = FACTORY.createGenerator(text)) {
      write(json, metrics);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
    return text.toString(StandardCharsets.UTF_8);
  }

  private static void write(JsonGenerator json, Map<?, ?> metrics) throws IOException {
    json.writeStartObject();
    for (Map.Entry<?, ?> metric : metrics.entrySet()) {
      json.writeFieldName(metric.getKey().toString());
      if (metric.getValue() instanceof Map<?, ?> group) {
        write(json, group);
      } else {
        json.writeNumber(((Number) metric.getValue()).longValue());
      }
    }
    json.writeEndObject();
  }
}
