package loomreel.settings;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A number of bytes, written in settings with its unit: {@code 64KiB}. */
public record Size(long bytes) {
  private static final Pattern FORMAT = Pattern.compile("([0-9]{1,9})(B|KiB|MiB|GiB)");

  /**
   * Parses a size.
   *
   * @throws IllegalArgumentException if the text is no size
   */
  public static Size of(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(text + " is no size such as 512B, 64KiB or 1GiB");
    }
    return new Size(Long.parseLong(matcher.group(1)) << unitShift(matcher.group(2)));
  }

  /** The binary logarithm of a unit in bytes. */
  private static int unitShift(String unit) {
    return switch (unit) {
      case "B" -> 0;
      case "KiB" -> 10;
      case "MiB" -> 20;
      default -> 30;
    };
  }
}
