package loomreel.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Looks up values in the trees that {@link JsonTree} returns. If a value is absent or is not of the
 * requested type, the methods return a default.
 */
final class JsonValues {
  private static final double MICROS_PER_SECOND = 1e6;

  private JsonValues() {}

  /**
   * Returns the value at a path of field names, or null if the path does not exist.
   *
   * @param root the value at which the path starts; if it is not an object, no path exists
   * @param path the names of the fields that lead from {@code root} to the value, the outermost
   *     field first
   */
  static Object get(Object root, String... path) {
    Object value = root;
    for (String name : path) {
      value = value instanceof Map<?, ?> object ? object.get(name) : null;
    }
    return value;
  }

  /** Returns a copy of the list at a path, or an empty list if there is no list at the path. */
  static List<Object> list(Object root, String... path) {
    return get(root, path) instanceof List<?> list ? new ArrayList<>(list) : List.of();
  }

  /** Returns the element at an index of a list, or null if the index is out of range. */
  static Object element(List<Object> list, int index) {
    return index >= 0 && index < list.size() ? list.get(index) : null;
  }

  /** Returns the string at a path, or an empty string if there is no string at the path. */
  static String text(Object root, String... path) {
    return get(root, path) instanceof String text ? text : "";
  }

  /** Returns the boolean at a path, or false if there is no boolean at the path. */
  static boolean flag(Object root, String... path) {
    return Boolean.TRUE.equals(get(root, path));
  }

  /** Returns a value as a number, or {@code defaultValue} if the value is not a number. */
  static double number(Object value, double defaultValue) {
    return value instanceof Number number ? number.doubleValue() : defaultValue;
  }

  /**
   * Reads a number of seconds at a path and returns it in microseconds, rounded to an integer.
   *
   * @param defaultSeconds the number of seconds that is used if there is no number at the path
   */
  static long micros(double defaultSeconds, Object root, String... path) {
    return Math.round(number(get(root, path), defaultSeconds) * MICROS_PER_SECOND);
  }
}
