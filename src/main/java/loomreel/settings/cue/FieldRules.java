package loomreel.settings.cue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import loomreel.settings.cue.Vertex.Arc;
import loomreel.settings.cue.Vertex.Conjunct;

/** The rules on the fields of structs: patterns that apply to them, and closed definitions. */
final class FieldRules {
  /** A field whose name is as close as this to an unknown one is suggested instead. */
  private static final int MAX_SUGGESTION_DISTANCE = 2;

  private final Evaluator evaluator;

  FieldRules(Evaluator evaluator) {
    this.evaluator = evaluator;
  }

  /** The conjuncts of a field: those under its name, and those of matching patterns. */
  List<Conjunct> conjuncts(Vertex struct, String name, Arc field) {
    List<Conjunct> conjuncts = new ArrayList<>(field.conjuncts);
    struct.patterns.stream()
        .filter(pattern -> matches(pattern.label(), name))
        .forEach(pattern -> conjuncts.add(pattern.value()));
    return conjuncts;
  }

  /** Why a closed definition does not allow a field, or empty where all allow it. */
  Optional<String> rejection(Vertex struct, String name) {
    return struct.allowed.values().stream()
        .filter(allowed -> !allows(allowed, name))
        .findFirst()
        .map(allowed -> "no such field" + suggestion(allowed, name));
  }

  private boolean allows(Vertex.Allowed allowed, String name) {
    return allowed.open
        || allowed.names.contains(name)
        || allowed.patterns.stream().anyMatch(pattern -> matches(pattern, name));
  }

  private boolean matches(Conjunct label, String name) {
    Expr.Literal literal = new Expr.Literal(name, label.expr().at());
    return evaluator.evaluate(List.of(label, label.with(literal))).stream()
        .anyMatch(choice -> choice.vertex().conflict == null);
  }

  private static String suggestion(Vertex.Allowed allowed, String name) {
    TreeSet<String> similar = new TreeSet<>(allowed.names);
    similar.removeIf(known -> EditDistance.between(known, name) > MAX_SUGGESTION_DISTANCE);
    return similar.isEmpty() ? "" : "; meant " + String.join(" or ", similar) + "?";
  }
}
