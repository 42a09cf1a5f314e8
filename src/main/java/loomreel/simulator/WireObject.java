package loomreel.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An event as it was read from JSON, before its fields are checked. The event has a kind and other
 * fields. {@link loomreel.config.JsonTree} states how the values of the fields are represented. A
 * field with the value {@code null} counts as absent.
 *
 * <p>Methods that return a value of a given type throw {@link MalformedBatchException} if the value
 * has another type, or if the field is absent and the method has no default.
 */
final class WireObject {
  /** The factor that converts seconds, the unit of time in the protocol, to microseconds. */
  static final double MICROS_PER_SECOND = 1e6;

  private final String kind;
  private final Map<String, Object> fields;

  WireObject(String kind, Map<String, Object> fields) {
    this.kind = kind;
    this.fields = fields;
  }

  /** Returns an empty map with room for the fields of an event of any kind. */
  static Map<String, Object> newFieldMap() {
    return new HashMap<>(16);
  }

  /** Converts seconds to microseconds and rounds to the nearest integer. */
  static long toMicros(double seconds) {
    return Math.round(seconds * MICROS_PER_SECOND);
  }

  String kind() {
    return kind;
  }

  /** Returns whether a field is present and not null. */
  boolean has(String fieldName) {
    return fields.get(fieldName) != null;
  }

  /** Returns the value of a field, which may have any type, or null if the field is absent. */
  Object valueOrNull(String fieldName) {
    return fields.get(fieldName);
  }

  /** Returns the value of a required string field. */
  String text(String fieldName) throws MalformedBatchException {
    if (requiredValue(fieldName) instanceof String text) {
      return text;
    }
    throw wrongType(fieldName, "a string");
  }

  /** Returns the value of a required number field. */
  double number(String fieldName) throws MalformedBatchException {
    return requiredNumber(fieldName).doubleValue();
  }

  /** Returns the value of a number field, or the default if the field is absent. */
  double number(String fieldName, double defaultValue) throws MalformedBatchException {
    return has(fieldName) ? number(fieldName) : defaultValue;
  }

  /**
   * Returns the value of a required number field as a {@code long}. If the number has a fractional
   * part, that part is discarded. If the number is an integer that does not fit into a {@code
   * long}, the result is the low 64 bits of the integer.
   */
  long integer(String fieldName) throws MalformedBatchException {
    return requiredNumber(fieldName).longValue();
  }

  /**
   * Returns the value of a required time or duration field. The field is in seconds, and the result
   * is in microseconds.
   */
  long micros(String fieldName) throws MalformedBatchException {
    return toMicros(number(fieldName));
  }

  /**
   * Returns the value of a time or duration field. The field is in seconds, and the result is in
   * microseconds. If the field is absent, returns the default, also converted from seconds to
   * microseconds.
   */
  long micros(String fieldName, double defaultSeconds) throws MalformedBatchException {
    return toMicros(number(fieldName, defaultSeconds));
  }

  /** Returns the fields of a required object field. */
  Map<?, ?> object(String fieldName) throws MalformedBatchException {
    if (requiredValue(fieldName) instanceof Map<?, ?> object) {
      return object;
    }
    throw wrongType(fieldName, "an object");
  }

  /** Returns the elements of a required array field. */
  List<?> array(String fieldName) throws MalformedBatchException {
    if (requiredValue(fieldName) instanceof List<?> array) {
      return array;
    }
    throw wrongType(fieldName, "an array");
  }

  private Number requiredNumber(String fieldName) throws MalformedBatchException {
    if (requiredValue(fieldName) instanceof Number number) {
      return number;
    }
    throw wrongType(fieldName, "a number");
  }

  private Object requiredValue(String fieldName) throws MalformedBatchException {
    Object value = fields.get(fieldName);
    if (value == null) {
      throw new MalformedBatchException(kind + " lacks the field " + fieldName);
    }
    return value;
  }

  private MalformedBatchException wrongType(String fieldName, String expected) {
    return new MalformedBatchException(kind + ": " + fieldName + " is not " + expected);
  }
}
