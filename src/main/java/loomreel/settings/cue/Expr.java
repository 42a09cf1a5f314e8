package loomreel.settings.cue;

import java.util.List;

/** An expression of a file, as it is written. */
sealed interface Expr {
  Position at();

  /** {@code value} is a String, BigInteger, BigDecimal, Boolean or {@link NullValue}. */
  record Literal(Object value, Position at) implements Expr {}

  /** {@code _}, which admits every value, or {@code _|_}, which nothing satisfies. */
  record Top(Position at) implements Expr {}

  record Bottom(Position at) implements Expr {}

  /** {@code a.b}, or the name of a predeclared type. */
  record Reference(List<String> names, Position at) implements Expr {}

  /** {@code op} is one of {@code < <= > >= != =~ !~}. */
  record Bound(String op, Object operand, Position at) implements Expr {}

  record Conjunction(List<Expr> parts, Position at) implements Expr {}

  record Disjunction(List<Disjunct> disjuncts, Position at) implements Expr {}

  record Disjunct(Expr value, boolean isDefault) {}

  /** {@code open}: an ellipsis admits any field. */
  record Struct(List<Field> fields, boolean open, Position at) implements Expr {
    boolean declares(String name) {
      return fields.stream().anyMatch(f -> name.equals(f.name()));
    }
  }

  /** {@code name} is null for a pattern, whose label is then {@code pattern}. */
  record Field(String name, Expr pattern, Presence presence, Expr value, Position at) {}

  /** {@code rest} is null where the list has just these items. */
  record ListExpr(List<Expr> items, Expr rest, Position at) implements Expr {}

  /** Whether a field is given, must be given, or may be given; the strongest is the first. */
  enum Presence {
    REGULAR(""),
    REQUIRED("!"),
    OPTIONAL("?");

    private final String suffix;

    Presence(String suffix) {
      this.suffix = suffix;
    }

    /** What follows a field's name in a file to mark this presence. */
    String suffix() {
      return suffix;
    }

    boolean isStrongerThan(Presence other) {
      return compareTo(other) < 0;
    }
  }

  /** The value null, which Java's collections do not all hold. */
  enum NullValue {
    NULL;

    @Override
    public String toString() {
      return "null";
    }
  }
}
