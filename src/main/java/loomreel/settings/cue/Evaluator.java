package loomreel.settings.cue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loomreel.settings.cue.Vertex.Conjunct;
import loomreel.settings.cue.Vertex.Scope;

/**
 * Unifies conjuncts. All conjuncts of a value are gathered first and judged as a set, so their
 * order and repetitions change nothing: unification is commutative, associative and idempotent.
 *
 * <p>One evaluator evaluates one file, within one {@link EvaluationBudget}.
 */
final class Evaluator {
  private final EvaluationBudget budget = new EvaluationBudget();
  private final ReferenceResolver references = new ReferenceResolver(this);
  private final FieldRules fieldRules = new FieldRules(this);
  private final Canonicalizer canonicalizer = new Canonicalizer(this);

  /**
   * One of the values that a disjunction leaves.
   *
   * @param isDefault whether it is one of the disjunction's defaults
   */
  record Choice(Vertex vertex, boolean isDefault) {}

  EvaluationBudget budget() {
    return budget;
  }

  FieldRules fieldRules() {
    return fieldRules;
  }

  Canonicalizer canonicalizer() {
    return canonicalizer;
  }

  /** The value of a file by itself. */
  Vertex evaluateFile(Expr.Struct file, Scope parent) {
    return evaluate(List.of(new Conjunct(file, parent, List.of(), 0))).get(0).vertex();
  }

  /** Every value that the conjuncts allow together; one where they hold no disjunction. */
  List<Choice> evaluate(List<Conjunct> conjuncts) {
    budget.enter();
    try {
      return evaluateNested(conjuncts);
    } finally {
      budget.leave();
    }
  }

  private List<Choice> evaluateNested(List<Conjunct> conjuncts) {
    List<Conjunct> plain = new ArrayList<>();
    List<Conjunct> disjunctions = new ArrayList<>();
    Problem unresolved = null;
    List<Conjunct> pending = new ArrayList<>(conjuncts);
    // The list grows while it is read: conjunctions and references add their parts.
    for (int i = 0; i < pending.size(); i++) {
      budget.step();
      Conjunct conjunct = pending.get(i);
      if (conjunct.expr() instanceof Expr.Conjunction conjunction) {
        conjunction.parts().forEach(part -> pending.add(conjunct.with(part)));
      } else if (conjunct.expr() instanceof Expr.Disjunction) {
        disjunctions.add(conjunct);
      } else if (conjunct.expr() instanceof Expr.Reference reference
          && !ReferenceResolver.isType(reference, conjunct.scope())) {
        Optional<String> failure = references.resolve(reference, conjunct, pending);
        if (failure.isPresent() && unresolved == null) {
          unresolved = Problem.conflict(reference.at(), "", failure.get());
        }
      } else {
        plain.add(conjunct);
      }
    }
    if (!disjunctions.isEmpty()) {
      return distribute(plain, disjunctions, unresolved);
    }
    Vertex vertex = VertexBuilder.build(plain);
    vertex.conflict = unresolved != null ? unresolved : vertex.conflict;
    return List.of(new Choice(vertex, true));
  }

  /**
   * The value of a disjunction: its one default, or its only remaining alternative, or none yet.
   */
  static Optional<Vertex> settle(List<Choice> choices) {
    List<Choice> defaults = choices.stream().filter(Choice::isDefault).toList();
    if (defaults.size() == 1) {
      return Optional.of(defaults.get(0).vertex());
    }
    return choices.size() == 1 ? Optional.of(choices.get(0).vertex()) : Optional.empty();
  }

  /** Unifies the other conjuncts with each disjunct of the first disjunction. */
  private List<Choice> distribute(
      List<Conjunct> plain, List<Conjunct> disjunctions, Problem unresolved) {
    Conjunct first = disjunctions.get(0);
    List<Expr.Disjunct> disjuncts = ((Expr.Disjunction) first.expr()).disjuncts();
    boolean hasDefault = disjuncts.stream().anyMatch(Expr.Disjunct::isDefault);
    Map<String, Choice> choices = new LinkedHashMap<>();
    List<Vertex> rejected = new ArrayList<>();
    for (Expr.Disjunct disjunct : disjuncts) {
      List<Conjunct> conjuncts = new ArrayList<>(plain);
      conjuncts.addAll(disjunctions.subList(1, disjunctions.size()));
      conjuncts.add(first.with(disjunct.value()));
      for (Choice choice : evaluate(conjuncts)) {
        if (hasConflict(choice.vertex())) {
          rejected.add(choice.vertex());
        } else {
          boolean isDefault = choice.isDefault() && (!hasDefault || disjunct.isDefault());
          choices.merge(
              canonicalizer.canonical(choice.vertex()),
              new Choice(choice.vertex(), isDefault),
              (one, same) -> new Choice(one.vertex(), one.isDefault() || same.isDefault()));
        }
      }
    }
    if (!choices.isEmpty()) {
      return List.copyOf(choices.values());
    }
    Vertex none = rejected.get(0);
    if (unresolved != null) {
      none.conflict = unresolved;
    } else if (rejected.size() > 1) {
      none.conflict = noDisjunctFits(plain, first.expr());
    }
    return List.of(new Choice(none, true));
  }

  private static Problem noDisjunctFits(List<Conjunct> plain, Expr disjunction) {
    Position at =
        plain.stream()
            .map(Conjunct::expr)
            .filter(expr -> !(expr instanceof Expr.Reference))
            .map(Expr::at)
            .min(Comparator.naturalOrder())
            .orElse(disjunction.at());
    String found =
        plain.stream()
            .map(Conjunct::expr)
            .filter(Expr.Literal.class::isInstance)
            .map(expr -> Scalar.show(((Expr.Literal) expr).value()))
            .findFirst()
            .orElse("this");
    String allowed = Expressions.describe(disjunction);
    return Problem.conflict(
        at, "", found + " is none of " + allowed + " (" + disjunction.at() + ")");
  }

  private boolean hasConflict(Vertex vertex) {
    TreeBuilder builder = new TreeBuilder(this);
    builder.build(vertex);
    return builder.problems().stream().anyMatch(problem -> !problem.isGap());
  }
}
