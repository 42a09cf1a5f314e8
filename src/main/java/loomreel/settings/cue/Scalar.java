package loomreel.settings.cue;

import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.math.RoundingMode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The unification of the conjuncts of a value that is neither a struct nor a list. Their order
 * never matters, except for which of several conflicts is reported.
 */
final class Scalar {
  // Kinds of values, as bits of a set.
  static final int NULL = 1;
  static final int BOOL = 2;
  static final int INT = 4;
  static final int FLOAT = 8;
  static final int STRING = 16;
  static final int ALL = 31;

  /** The sets of kinds that CUE's predeclared types stand for, as bits. */
  static final Map<String, Integer> KINDS_BY_TYPE =
      Map.of(
          "null",
          NULL,
          "bool",
          BOOL,
          "int",
          INT,
          "float",
          FLOAT,
          "number",
          INT | FLOAT,
          "string",
          STRING,
          "uint",
          INT);

  private int kinds = ALL;
  private Object value;
  private Position valueAt;

  /** Bounds by their text, so that a repeated one counts once. */
  private final Map<String, Expr.Bound> bounds = new LinkedHashMap<>();

  private Position kindsAt;
  private String conflict;
  private Position conflictAt;

  /** The kind of a concrete value. */
  static int kind(Object value) {
    return value instanceof String
        ? STRING
        : value instanceof BigInteger
            ? INT
            : value instanceof BigDecimal ? FLOAT : value instanceof Boolean ? BOOL : NULL;
  }

  private static String name(int kinds) {
    return kinds == (INT | FLOAT)
        ? "number"
        : KINDS_BY_TYPE.entrySet().stream()
            .filter(t -> (t.getValue() & kinds) != 0)
            .filter(t -> Integer.bitCount(t.getValue()) == 1 && !t.getKey().equals("uint"))
            .map(Map.Entry::getKey)
            .sorted()
            .collect(Collectors.joining(" or "));
  }

  private void conflict(Position at, String reason) {
    if (conflict == null) {
      conflict = reason;
      conflictAt = at;
    }
  }

  private void narrow(int to, Position at) {
    if ((kinds & to) == 0) {
      conflict(
          at,
          name(to)
              + " where "
              + (value != null ? show(value) : name(kinds))
              + " is wanted"
              + (kindsAt == null ? "" : " (" + kindsAt + ")"));
    } else if ((kinds & to) != kinds) {
      kindsAt = at;
    }
    kinds &= to;
  }

  /** Adds a concrete value. */
  void literal(Object next, Position at) {
    if (value != null && kind(value) == kind(next) && !value.equals(next) && !same(value, next)) {
      conflict(
          at, "conflicting values " + show(next) + " and " + show(value) + " (" + valueAt + ")");
    }
    if (value == null && (kinds & kind(next)) == 0) {
      conflict(
          at,
          show(next)
              + " where "
              + name(kinds)
              + " is wanted"
              + (kindsAt == null ? "" : " (" + kindsAt + ")"));
    }
    narrow(kind(next), at);
    if (value == null) {
      value = next;
      valueAt = at;
    }
  }

  /** Whether two decimals are the same number, as 1.0 and 1.00 are. */
  private static boolean same(Object first, Object second) {
    return first instanceof BigDecimal a && second instanceof BigDecimal b && a.compareTo(b) == 0;
  }

  /** Adds a predeclared type. */
  void type(String type, Position at) {
    narrow(KINDS_BY_TYPE.get(type), at);
    if (type.equals("uint")) {
      bound(new Expr.Bound(">=", BigInteger.ZERO, at));
    }
  }

  /** Adds a bound. */
  void bound(Expr.Bound bound) {
    boolean ordered = !bound.op().equals("!=");
    int of = kind(bound.operand());
    if (ordered) {
      narrow((of & (INT | FLOAT)) != 0 ? INT | FLOAT : of, bound.at());
    }
    if (bound.op().endsWith("~")) {
      try {
        Pattern.compile(String.valueOf(bound.operand()));
      } catch (PatternSyntaxException e) {
        conflict(bound.at(), "no regular expression: " + e.getMessage());
      }
    }
    bounds.putIfAbsent(bound.op() + show(bound.operand()), bound);
  }

  /** Whether {@code value} satisfies the bound. */
  private static boolean admits(Expr.Bound bound, Object value) {
    Object operand = bound.operand();
    switch (bound.op()) {
      case "=~", "!~" -> {
        return value instanceof String s
            && Pattern.compile((String) operand).matcher(s).find() == bound.op().equals("=~");
      }
      case "!=" -> {
        return !(kind(value) == kind(operand) && (value.equals(operand) || same(value, operand)))
            && !(value instanceof Number a
                && operand instanceof Number b
                && number(a).compareTo(number(b)) == 0);
      }
      default -> {
        int order =
            value instanceof Number a && operand instanceof Number b
                ? number(a).compareTo(number(b))
                : value.toString().compareTo(operand.toString());
        return switch (bound.op()) {
          case "<" -> order < 0;
          case "<=" -> order <= 0;
          case ">" -> order > 0;
          default -> order >= 0;
        };
      }
    }
  }

  private static BigDecimal number(Number n) {
    return n instanceof BigInteger i ? new BigDecimal(i) : (BigDecimal) n;
  }

  /** Why no value satisfies all conjuncts, or null; {@link #conflictAt} is the place. */
  String conflict() {
    if (conflict != null) {
      return conflict;
    }
    for (Expr.Bound bound : bounds.values()) {
      if (value != null && !admits(bound, value)) {
        // The value is what an operator wrote and can correct, so it is the place reported.
        conflict(
            valueAt,
            show(value)
                + " is not "
                + bound.op()
                + " "
                + show(bound.operand())
                + " ("
                + bound.at()
                + ")");
        return conflict;
      }
    }
    if (value == null && (kinds & ~(INT | FLOAT)) == 0) {
      detectEmptyRange();
    }
    return conflict;
  }

  /** Reports a conflict where a lower and an upper bound leave no number. */
  private void detectEmptyRange() {
    Expr.Bound low = null;
    Expr.Bound high = null;
    for (Expr.Bound bound : bounds.values()) {
      if (bound.op().startsWith(">") && (low == null || tighter(bound, low, 1))) {
        low = bound;
      } else if (bound.op().startsWith("<") && (high == null || tighter(bound, high, -1))) {
        high = bound;
      }
    }
    if (low == null || high == null) {
      return;
    }
    BigDecimal from = number((Number) low.operand());
    BigDecimal to = number((Number) high.operand());
    boolean strict = low.op().equals(">") || high.op().equals("<");
    boolean empty = from.compareTo(to) > 0 || (from.compareTo(to) == 0 && strict);
    if (!empty && kinds == INT) {
      BigInteger first = from.setScale(0, RoundingMode.CEILING).toBigInteger();
      BigInteger last = to.setScale(0, RoundingMode.FLOOR).toBigInteger();
      if (low.op().equals(">") && new BigDecimal(first).compareTo(from) == 0) {
        first = first.add(BigInteger.ONE);
      }
      if (high.op().equals("<") && new BigDecimal(last).compareTo(to) == 0) {
        last = last.subtract(BigInteger.ONE);
      }
      empty = first.compareTo(last) > 0;
    }
    if (empty) {
      conflict(
          high.at(),
          "nothing is "
              + low.op()
              + " "
              + show(low.operand())
              + " ("
              + low.at()
              + ") and "
              + high.op()
              + " "
              + show(high.operand()));
    }
  }

  /** Whether a bound admits less than another of the same direction, 1 for lower bounds. */
  private static boolean tighter(Expr.Bound bound, Expr.Bound other, int sign) {
    int order = sign * number((Number) bound.operand()).compareTo(number((Number) other.operand()));
    return order > 0 || (order == 0 && bound.op().length() < other.op().length());
  }

  Position conflictAt() {
    return conflictAt;
  }

  /** The concrete value, or null where it is not settled. */
  Object value() {
    return value;
  }

  /** The canonical form: the same text for equal sets of conjuncts in any order. */
  String canonical() {
    if (conflict() != null) {
      return "_|_";
    }
    if (value != null) {
      return show(value instanceof BigDecimal d ? d.stripTrailingZeros() : value);
    }
    TreeSet<String> parts = new TreeSet<>(bounds.keySet());
    if (kinds != ALL) {
      parts.add(name(kinds));
    }
    return parts.isEmpty() ? "_" : String.join(" & ", parts);
  }

  /** A value as it is written in a file. */
  static String show(Object value) {
    return value instanceof String s
        ? StringLiterals.quote(s)
        : value instanceof BigDecimal d && d.scale() <= 0
            ? d.toBigInteger() + ".0"
            : String.valueOf(value);
  }
}
