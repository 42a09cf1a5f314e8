package loomreel.settings.cue;

import java.util.List;
import loomreel.settings.cue.Vertex.Arc;
import loomreel.settings.cue.Vertex.Closer;
import loomreel.settings.cue.Vertex.Conjunct;
import loomreel.settings.cue.Vertex.Scope;

/** Builds a vertex from conjuncts that hold no disjunction and no unresolved reference. */
final class VertexBuilder {
  private final Vertex vertex = new Vertex();

  private VertexBuilder() {}

  /** The value that the conjuncts describe together, with the conflict between them, if any. */
  static Vertex build(List<Conjunct> conjuncts) {
    VertexBuilder builder = new VertexBuilder();
    Vertex vertex = builder.vertex;
    vertex.conjuncts = conjuncts;
    vertex.at =
        conjuncts.stream().map(c -> c.expr().at()).findFirst().orElse(new Position("", 0, 0));
    conjuncts.forEach(builder::add);
    if (vertex.conflict == null) {
      builder.detectConflict();
    }
    return vertex;
  }

  private void add(Conjunct conjunct) {
    Expr expr = conjunct.expr();
    if (expr instanceof Expr.Struct struct) {
      vertex.structAt = vertex.structAt == null ? expr.at() : vertex.structAt;
      addStruct(struct, conjunct);
    } else if (expr instanceof Expr.ListExpr) {
      vertex.lists.add(conjunct);
    } else if (expr instanceof Expr.Bottom) {
      vertex.conflict = Problem.conflict(expr.at(), "", "nothing can stand here");
    } else if (!(expr instanceof Expr.Top)) {
      addScalar(expr);
    }
  }

  private void addScalar(Expr expr) {
    vertex.scalarAt = vertex.scalarAt == null ? expr.at() : vertex.scalarAt;
    if (expr instanceof Expr.Literal literal) {
      vertex.scalar.literal(literal.value(), expr.at());
    } else if (expr instanceof Expr.Bound bound) {
      vertex.scalar.bound(bound);
    } else {
      vertex.scalar.type(((Expr.Reference) expr).names().get(0), expr.at());
    }
  }

  private void addStruct(Expr.Struct struct, Conjunct from) {
    Scope scope = new Scope(from.scope(), struct, vertex);
    for (Closer closer : from.closers()) {
      vertex.allowed.computeIfAbsent(closer, c -> new Vertex.Allowed()).open |= struct.open();
    }
    for (Expr.Field field : struct.fields()) {
      Conjunct value = new Conjunct(field.value(), scope, from.closers(), 0);
      if (field.name() == null) {
        Conjunct label = new Conjunct(field.pattern(), scope, List.of(), 0);
        vertex.patterns.add(new Vertex.Pattern(label, value));
        from.closers().forEach(closer -> vertex.allowed.get(closer).patterns.add(label));
      } else {
        vertex
            .arcs
            .computeIfAbsent(field.name(), name -> new Arc())
            .add(value, field.presence(), field.at());
        from.closers().forEach(closer -> vertex.allowed.get(closer).names.add(field.name()));
      }
    }
  }

  private void detectConflict() {
    Position listAt = vertex.isList() ? vertex.lists.get(0).expr().at() : null;
    if (vertex.isStruct() && listAt != null) {
      vertex.conflict =
          Problem.conflict(vertex.structAt, "", "a struct and a list (" + listAt + ")");
    } else if (vertex.scalarAt != null && (vertex.isStruct() || listAt != null)) {
      String composite = vertex.isStruct() ? "a struct (" + vertex.structAt : "a list (" + listAt;
      vertex.conflict =
          Problem.conflict(vertex.scalarAt, "", composite + ") and " + vertex.scalar.canonical());
    } else if (vertex.scalar.conflict() != null) {
      vertex.conflict = Problem.conflict(vertex.scalar.conflictAt(), "", vertex.scalar.conflict());
    }
  }
}
