package loomreel.settings.cue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import loomreel.settings.cue.Vertex.Arc;
import loomreel.settings.cue.Vertex.Closer;
import loomreel.settings.cue.Vertex.Conjunct;
import loomreel.settings.cue.Vertex.Scope;

/** Replaces references by the conjuncts of the field that they name. */
final class ReferenceResolver {
  /** A longer chain of references is a cycle. */
  private static final int MAX_REFERENCES = 64;

  private final Evaluator evaluator;

  ReferenceResolver(Evaluator evaluator) {
    this.evaluator = evaluator;
  }

  /** Whether a reference names a predeclared type, which no scope round it redeclares. */
  static boolean isType(Expr.Reference reference, Scope scope) {
    String name = reference.names().get(0);
    return reference.names().size() == 1
        && Scalar.KINDS_BY_TYPE.containsKey(name)
        && declaringScope(name, scope).isEmpty();
  }

  /**
   * Appends the conjuncts that a reference stands for.
   *
   * @param from the conjunct that holds the reference
   * @return why the reference stands for nothing, or empty where it was resolved
   */
  Optional<String> resolve(Expr.Reference reference, Conjunct from, List<Conjunct> target) {
    String name = reference.names().get(0);
    Optional<Scope> scope = declaringScope(name, from.scope());
    if (scope.isEmpty()) {
      return Optional.of("nothing is called " + name);
    }
    if (from.references() >= MAX_REFERENCES) {
      return Optional.of("a circle of references");
    }
    Arc arc = scope.get().vertex().arcs.get(name);
    boolean isClosed = Labels.isAnyDefinition(name);
    for (String next : reference.names().subList(1, reference.names().size())) {
      arc = arc == null ? null : select(arc, next, from.references() + 1);
      isClosed |= Labels.isDefinition(next);
    }
    if (arc == null) {
      return Optional.of(String.join(".", reference.names()) + " is not there");
    }
    appendConjuncts(arc, from, isClosed, target);
    return Optional.empty();
  }

  private static Optional<Scope> declaringScope(String name, Scope scope) {
    Scope declaring = scope;
    while (declaring != null && !declaring.struct().declares(name)) {
      declaring = declaring.parent();
    }
    return Optional.ofNullable(declaring);
  }

  /** A field of the value of an arc, or null where it has none of this name. */
  private Arc select(Arc arc, String name, int references) {
    List<Conjunct> conjuncts =
        arc.conjuncts.stream()
            .map(c -> new Conjunct(c.expr(), c.scope(), c.closers(), references))
            .toList();
    return Evaluator.settle(evaluator.evaluate(conjuncts))
        .map(value -> value.arcs.get(name))
        .orElse(null);
  }

  private static void appendConjuncts(
      Arc arc, Conjunct from, boolean isClosed, List<Conjunct> target) {
    Optional<Closer> closer = isClosed ? Optional.of(new Closer()) : Optional.empty();
    for (Conjunct conjunct : arc.conjuncts) {
      List<Closer> closers = new ArrayList<>(from.closers());
      conjunct.closers().stream().filter(c -> !closers.contains(c)).forEach(closers::add);
      closer.ifPresent(closers::add);
      int references = Math.max(conjunct.references(), from.references()) + 1;
      target.add(new Conjunct(conjunct.expr(), conjunct.scope(), List.copyOf(closers), references));
    }
  }
}
