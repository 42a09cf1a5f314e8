package loomreel.settings.cue;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.Map;

/** The numbers of CUE: decimal or hexadecimal, with {@code _} between digits, and with suffixes. */
final class NumberLiterals {
  private static final int MAX_LENGTH = 100;
  private static final int MAX_EXPONENT_LENGTH = 4;
  private static final String HEXADECIMAL_PREFIX = "0x";
  private static final int HEXADECIMAL = 16;

  private static final Map<String, BigDecimal> MULTIPLIERS =
      Map.of(
          "K",
          BigDecimal.valueOf(1000),
          "M",
          BigDecimal.valueOf(1000_000),
          "G",
          BigDecimal.valueOf(1000_000_000),
          "T",
          BigDecimal.valueOf(1000_000_000_000L),
          "Ki",
          BigDecimal.valueOf(1L << 10),
          "Mi",
          BigDecimal.valueOf(1L << 20),
          "Gi",
          BigDecimal.valueOf(1L << 30),
          "Ti",
          BigDecimal.valueOf(1L << 40));

  private NumberLiterals() {}

  /**
   * Parses a number that the grammar admits.
   *
   * @return a BigInteger for an integer, else a BigDecimal
   * @throws IllegalArgumentException if it is too long, or has a fraction in spite of its suffix
   */
  static Object parse(String literal) {
    String text = literal.replace("_", "");
    if (text.length() > MAX_LENGTH) {
      throw new IllegalArgumentException("a number of more than " + MAX_LENGTH + " digits");
    }
    if (text.startsWith(HEXADECIMAL_PREFIX)) {
      return new BigInteger(text.substring(HEXADECIMAL_PREFIX.length()), HEXADECIMAL);
    }
    String suffix = text.replaceFirst("^[0-9.]+([eE][+-]?[0-9]+)?", "");
    String digits = text.substring(0, text.length() - suffix.length());
    int exponent = Math.max(digits.indexOf('e'), digits.indexOf('E'));
    if (exponent >= 0 && digits.length() - exponent > MAX_EXPONENT_LENGTH + 1) {
      throw new IllegalArgumentException("an exponent out of range");
    }
    BigDecimal value = new BigDecimal(digits);
    if (suffix.isEmpty()) {
      boolean isInteger = digits.matches("[0-9]+");
      return isInteger ? value.toBigIntegerExact() : value;
    }
    return multiple(text, value.multiply(MULTIPLIERS.get(suffix)));
  }

  private static BigInteger multiple(String text, BigDecimal product) {
    if (product.stripTrailingZeros().scale() > 0) {
      throw new IllegalArgumentException(text + " is no whole number");
    }
    return product.toBigIntegerExact();
  }
}
