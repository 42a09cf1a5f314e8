package loomreel.settings.cue;

import java.util.stream.Collectors;

/** Expressions as text for messages, shortened where they are structs or lists. */
final class Expressions {
  private Expressions() {}

  static String describe(Expr expr) {
    if (expr instanceof Expr.Disjunction disjunction) {
      return disjunction.disjuncts().stream()
          .map(disjunct -> describe(disjunct.value()))
          .distinct()
          .collect(Collectors.joining(" | "));
    } else if (expr instanceof Expr.Conjunction conjunction) {
      return conjunction.parts().stream()
          .map(Expressions::describe)
          .collect(Collectors.joining(" & "));
    } else if (expr instanceof Expr.Bound bound) {
      return bound.op() + Scalar.show(bound.operand());
    } else if (expr instanceof Expr.Reference reference) {
      return String.join(".", reference.names());
    } else if (expr instanceof Expr.Literal literal) {
      return Scalar.show(literal.value());
    } else if (expr instanceof Expr.Struct) {
      return "{...}";
    } else if (expr instanceof Expr.ListExpr) {
      return "[...]";
    }
    return "_";
  }
}
