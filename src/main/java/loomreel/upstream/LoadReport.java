package loomreel.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loomreel.config.JsonTree;
import loomreel.decision.WorkerLoad;

/**
 * Parses the load reports of workers. A report is a JSON object, or a text such as {@code TEXT
 * inflight=7, queue=2}. Unknown fields and values that are not finite numbers are ignored.
 */
final class LoadReport {
  private static final List<String> QUEUED_JOBS_KEYS = List.of("queue", "depth");
  private static final List<String> ACTIVE_JOBS_KEYS = List.of("inflight", "concurrent");
  private static final List<String> UTILIZATION_KEYS = List.of("util", "load_share");
  private static final List<String> FREE_SLOTS_KEYS = List.of("x0");

  private LoadReport() {}

  /**
   * Parses a report that is JSON or text.
   *
   * @param text the report, or null if the worker has sent none
   * @return the load, or empty if the report has no known field with a finite number
   */
  static Optional<WorkerLoad> parse(String text) {
    return text == null ? Optional.empty() : fromFields(fields(text));
  }

  /**
   * Parses a report that is part of a JSON document.
   *
   * @param value the JSON value: an object, or a string that contains a JSON or text report; null
   *     or a value of another type is not a report
   * @return the load, or empty if the report has no known field with a finite number
   */
  static Optional<WorkerLoad> fromJson(Object value) {
    if (value instanceof String text) {
      return parse(text);
    }
    return value instanceof Map<?, ?> fields ? fromFields(fields) : Optional.empty();
  }

  private static Optional<WorkerLoad> fromFields(Map<?, ?> fields) {
    WorkerLoad load =
        new WorkerLoad(
            number(fields, QUEUED_JOBS_KEYS),
            number(fields, ACTIVE_JOBS_KEYS),
            number(fields, UTILIZATION_KEYS),
            number(fields, FREE_SLOTS_KEYS));
    boolean isEmpty =
        Double.isNaN(load.queuedJobs())
            && Double.isNaN(load.activeJobs())
            && Double.isNaN(load.utilization())
            && Double.isNaN(load.freeSlots());
    return isEmpty ? Optional.empty() : Optional.of(load);
  }

  private static Map<?, ?> fields(String text) {
    return text.stripLeading().startsWith("{") ? jsonFields(text) : textFields(text);
  }

  private static Map<?, ?> jsonFields(String text) {
    try {
      Object tree = JsonTree.read(text.getBytes(StandardCharsets.UTF_8));
      return tree instanceof Map<?, ?> fields ? fields : Map.of();
    } catch (IOException e) {
      return Map.of();
    }
  }

  private static Map<String, Double> textFields(String text) {
    Map<String, Double> fields = new HashMap<>();
    for (String field : text.strip().split("[\\s,]+", -1)) {
      int equals = field.indexOf('=');
      if (equals > 0) {
        try {
          fields.put(field.substring(0, equals), Double.valueOf(field.substring(equals + 1)));
        } catch (NumberFormatException e) {
          // A field whose value is not a number is ignored, like an unknown field.
        }
      }
    }
    return fields;
  }

  /**
   * Returns the value of the first of the named fields that is present. Returns NaN, which the
   * policy interprets as unknown, if none of these fields is present or if this value is not a
   * finite number.
   */
  private static double number(Map<?, ?> fields, List<String> names) {
    for (String name : names) {
      Object value = fields.get(name);
      if (value != null) {
        return value instanceof Number number && Double.isFinite(number.doubleValue())
            ? number.doubleValue()
            : Double.NaN;
      }
    }
    return Double.NaN;
  }
}
