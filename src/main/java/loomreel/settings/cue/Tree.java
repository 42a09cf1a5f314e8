package loomreel.settings.cue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A settled value and its place in the file.
 *
 * @param value a Map of String to Tree, a List of Tree, String, BigInteger, BigDecimal, Boolean, or
 *     null
 */
public record Tree(Object value, Position at) {
  /** As JSON, fields in the order of their names: the same for equal values. */
  @Override
  public String toString() {
    if (value instanceof Map<?, ?> map) {
      StringBuilder text = new StringBuilder("{");
      new TreeMap<>(map)
          .forEach(
              (name, field) ->
                  text.append(text.length() > 1 ? "," : "")
                      .append(StringLiterals.quote(name.toString()))
                      .append(':')
                      .append(field));
      return text.append('}').toString();
    }
    if (value instanceof List<?> list) {
      return list.toString().replace(", ", ",");
    }
    return value instanceof String string ? StringLiterals.quote(string) : String.valueOf(value);
  }
}
