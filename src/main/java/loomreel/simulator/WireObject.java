package loomreel.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One event as a JSON object of the wire: its kind and its fields by name. A field that is {@code
 * null} on the wire counts as absent. The accessors throw {@link MalformedBatchException} where a
 * required field is absent or of the wrong type.
 */
final class WireObject {
  /** Factor from the wire's seconds to microseconds. */
  static final double MICROS_PER_SECOND = 1e6;

  private final String kind;
  private final Map<String, Object> fields;

  WireObject(String kind, Map<String, Object> fields) {
    this.kind = kind;
    this.fields = fields;
  }

  /** A builder's map for the fields of one event, sized for the largest kind. */
  static Map<String, Object> newFieldMap() {
    return new HashMap<>(16);
  }

  /** Converts the wire's seconds to microseconds. */
  static long toMicros(double seconds) {
    return Math.round(seconds * MICROS_PER_SECOND);
  }

  String kind() {
    return kind;
  }

  boolean has(String name) {
    return fields.get(name) != null;
  }

  /** The value of an optional field, or null where it is absent. */
  Object optional(String name) {
    return fields.get(name);
  }

  String text(String name) throws MalformedBatchException {
    if (required(name) instanceof String text) {
      return text;
    }
    throw wrongType(name, "a string");
  }

  double number(String name) throws MalformedBatchException {
    return numeric(name).doubleValue();
  }

  double number(String name, double defaultValue) throws MalformedBatchException {
    return has(name) ? number(name) : defaultValue;
  }

  /** An integer; only the low 64 bits of a larger one. */
  long integer(String name) throws MalformedBatchException {
    return numeric(name).longValue();
  }

  /** A time or duration, given in seconds on the wire, in microseconds. */
  long micros(String name) throws MalformedBatchException {
    return toMicros(number(name));
  }

  long micros(String name, double defaultSeconds) throws MalformedBatchException {
    return toMicros(number(name, defaultSeconds));
  }

  Map<?, ?> object(String name) throws MalformedBatchException {
    if (required(name) instanceof Map<?, ?> object) {
      return object;
    }
    throw wrongType(name, "an object");
  }

  List<?> array(String name) throws MalformedBatchException {
    if (required(name) instanceof List<?> array) {
      return array;
    }
    throw wrongType(name, "an array");
  }

  private Number numeric(String name) throws MalformedBatchException {
    if (required(name) instanceof Number number) {
      return number;
    }
    throw wrongType(name, "a number");
  }

  private Object required(String name) throws MalformedBatchException {
    Object value = fields.get(name);
    if (value == null) {
      throw new MalformedBatchException(kind + " without " + name);
    }
    return value;
  }

  private MalformedBatchException wrongType(String name, String expected) {
    return new MalformedBatchException(kind + ": " + name + " is not " + expected);
  }
}
