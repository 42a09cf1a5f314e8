package loomreel.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Looks up values in the trees that {@link JsonTree} returns. If a value is absent or does not have
 * the requested type, a default is returned.
 */
final class JsonValues {
  private static final double MICROS_PER_SECOND = 1e6;

  private JsonValues() {}

  /**
   * Returns the value at a path of field names, or null if there is none.
   *
   * @param root the value at which the path starts; a value that is not an object has no fields
   */
  static Object get(Object root, String... path) {
    Object value = root;
    for (String name : path) {
      value = value instanceof Map<?, ?> object ? object.get(name) : null;
    }
    return value;
  }

  /** Returns a copy of the list at a path, or an empty list by default. */
  static List<Object> list(Object root, String... path) {
    return get(root, path) instanceof List<?> list ? new ArrayList<>(list) : List.of();
  }

  /** Returns the element at an index of a list, or null if the index is out of range. */
  static Object element(List<Object> list, int index) {
    return index >= 0 && index < list.size() ? list.get(index) : null;
  }

  /** Returns the string at a path, or an empty string by default. */
  static String text(Object root, String... path) {
    return get(root, path) instanceof String text ? text : "";
  }

  /** Returns the boolean at a path, or false by default. */
  static boolean flag(Object root, String... path) {
    return Boolean.TRUE.equals(get(root, path));
  }

  /** Returns a value as a number. */
  static double number(Object value, double defaultValue) {
    return value instanceof Number number ? number.doubleValue() : defaultValue;
  }

  /**
   * Returns the number of seconds at a path, converted to microseconds and rounded.
   *
   * @param defaultSeconds used if there is no number at the path
   */
  static long micros(double defaultSeconds, Object root, String... path) {
    return Math.round(number(get(root, path), defaultSeconds) * MICROS_PER_SECOND);
  }
}
