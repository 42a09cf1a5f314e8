package loomreel.settings;

import java.math.BigInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A duration in microseconds, written in settings with its unit: {@code 250ms}, {@code 1m30s}.
 *
 * @param micros from 0 to ten years
 */
public record Micros(long micros) {
  private static final Pattern PART = Pattern.compile("([0-9]{1,15})(us|ms|s|m|h)");

  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long MICROS_PER_MINUTE = 60 * MICROS_PER_SECOND;
  private static final long MICROS_PER_HOUR = 60 * MICROS_PER_MINUTE;
  private static final BigInteger TEN_YEARS = BigInteger.valueOf(10 * 365 * 24 * MICROS_PER_HOUR);

  /**
   * Parses a duration.
   *
   * @throws IllegalArgumentException if the text is no duration, or is over ten years
   */
  public static Micros of(String text) {
    BigInteger sum = BigInteger.ZERO;
    Matcher part = PART.matcher(text);
    int end = 0;
    while (part.find() && part.start() == end) {
      BigInteger amount = new BigInteger(part.group(1));
      sum = sum.add(amount.multiply(BigInteger.valueOf(unitMicros(part.group(2)))));
      end = part.end();
    }
    if (end != text.length() || end == 0) {
      throw new IllegalArgumentException(text + " is no length of time such as 250ms, 2s or 1m30s");
    }
    if (sum.compareTo(TEN_YEARS) > 0) {
      throw new IllegalArgumentException(text + " is over ten years");
    }
    return new Micros(sum.longValue());
  }

  private static long unitMicros(String unit) {
    return switch (unit) {
      case "us" -> 1;
      case "ms" -> MICROS_PER_MILLI;
      case "s" -> MICROS_PER_SECOND;
      case "m" -> MICROS_PER_MINUTE;
      default -> MICROS_PER_HOUR;
    };
  }
}
