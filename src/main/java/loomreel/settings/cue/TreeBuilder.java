package loomreel.settings.cue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import loomreel.settings.cue.Vertex.Arc;
import loomreel.settings.cue.Vertex.Conjunct;

/** Turns a vertex into settled values, and collects what is wrong with it and below it. */
final class TreeBuilder {
  private final Evaluator evaluator;
  private final List<Problem> problems = new ArrayList<>();

  TreeBuilder(Evaluator evaluator) {
    this.evaluator = evaluator;
  }

  /** All that is wrong with the values built so far, in the order in which it was found. */
  List<Problem> problems() {
    return problems;
  }

  /** The settled value of a file; parts that are wrong are null in it. */
  Tree build(Vertex root) {
    return build(root, "", 0);
  }

  private Tree build(Vertex vertex, String path, int depth) {
    evaluator.budget().stepAt(depth);
    if (vertex.conflict != null) {
      problems.add(Problem.conflict(vertex.conflict.at(), path, vertex.conflict.reason()));
      return new Tree(null, vertex.at);
    }
    if (vertex.isStruct()) {
      return buildStruct(vertex, path, depth);
    }
    if (vertex.isList()) {
      return buildList(vertex, path, depth);
    }
    Object value = vertex.scalar.value();
    if (value == null) {
      problems.add(Problem.gap(vertex.at, path, "not settled: " + vertex.scalar.canonical()));
    }
    return new Tree(value == Expr.NullValue.NULL ? null : value, vertex.at);
  }

  private Tree buildStruct(Vertex struct, String path, int depth) {
    Map<String, Tree> fields = new LinkedHashMap<>();
    for (Map.Entry<String, Arc> entry : struct.arcs.entrySet()) {
      String name = entry.getKey();
      Arc arc = entry.getValue();
      if (!Labels.isData(name)) {
        continue;
      }
      String fieldPath = path.isEmpty() ? name : path + "." + name;
      if (arc.presence == Expr.Presence.REQUIRED) {
        problems.add(Problem.gap(struct.at, fieldPath, "is missing"));
      } else if (arc.presence == Expr.Presence.REGULAR) {
        buildField(struct, name, arc, fieldPath, depth).ifPresent(value -> fields.put(name, value));
      }
    }
    return new Tree(fields, struct.at);
  }

  private Optional<Tree> buildField(Vertex struct, String name, Arc arc, String path, int depth) {
    Optional<String> rejection = evaluator.fieldRules().rejection(struct, name);
    if (rejection.isPresent()) {
      problems.add(Problem.conflict(arc.at, path, rejection.get()));
      return Optional.empty();
    }
    List<Conjunct> conjuncts = evaluator.fieldRules().conjuncts(struct, name, arc);
    return Optional.of(buildSettled(conjuncts, path, arc.at, depth + 1));
  }

  private Tree buildList(Vertex list, String path, int depth) {
    List<Tree> items = new ArrayList<>();
    int length = list.listLength();
    for (int index = 0; index < length; index++) {
      Optional<List<Conjunct>> conjuncts = list.itemConjuncts(index);
      if (conjuncts.isEmpty()) {
        problems.add(Problem.conflict(list.at, path, "lists of different lengths"));
        return new Tree(items, list.at);
      }
      Position at = conjuncts.get().stream().map(c -> c.expr().at()).findFirst().orElse(list.at);
      items.add(buildSettled(conjuncts.get(), path + "[" + index + "]", at, depth + 1));
    }
    return new Tree(items, list.at);
  }

  private Tree buildSettled(List<Conjunct> conjuncts, String path, Position at, int depth) {
    List<Evaluator.Choice> choices = evaluator.evaluate(conjuncts);
    Optional<Vertex> settled = Evaluator.settle(choices);
    if (settled.isEmpty()) {
      problems.add(Problem.gap(at, path, "not settled: " + describe(choices)));
      return new Tree(null, at);
    }
    return new Tree(build(settled.get(), path, depth).value(), at);
  }

  private String describe(List<Evaluator.Choice> choices) {
    TreeSet<String> values = new TreeSet<>();
    choices.forEach(choice -> values.add(evaluator.canonicalizer().canonical(choice.vertex())));
    return String.join(" | ", values);
  }
}
