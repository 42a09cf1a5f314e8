package loomreel.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Looks values up in what {@link JsonTree} has read. A value that is absent, or of another type
 * than the requested one, gives the default.
 */
final class JsonValues {
  private static final double MICROS_PER_SECOND = 1e6;

  private JsonValues() {}

  /**
   * The value at a path of field names, or null where there is none.
   *
   * @param root any value; one that is no object has no fields
   */
  static Object get(Object root, String... path) {
    Object value = root;
    for (String name : path) {
      value = value instanceof Map<?, ?> object ? object.get(name) : null;
    }
    return value;
  }

  /** The list at a path; empty by default. */
  static List<Object> list(Object root, String... path) {
    return get(root, path) instanceof List<?> list ? new ArrayList<>(list) : List.of();
  }

  /** The element of a list, or null where the list does not reach so far. */
  static Object element(List<Object> list, int index) {
    return index >= 0 && index < list.size() ? list.get(index) : null;
  }

  /** The string at a path; empty by default. */
  static String text(Object root, String... path) {
    return get(root, path) instanceof String text ? text : "";
  }

  /** The boolean at a path; false by default. */
  static boolean flag(Object root, String... path) {
    return Boolean.TRUE.equals(get(root, path));
  }

  /** A value as a number. */
  static double number(Object value, double defaultValue) {
    return value instanceof Number number ? number.doubleValue() : defaultValue;
  }

  /** The number of seconds at a path, in microseconds. */
  static long micros(double defaultSeconds, Object root, String... path) {
    return Math.round(number(get(root, path), defaultSeconds) * MICROS_PER_SECOND);
  }
}
