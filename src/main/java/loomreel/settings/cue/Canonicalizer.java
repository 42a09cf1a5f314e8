package loomreel.settings.cue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import loomreel.settings.cue.Vertex.Arc;
import loomreel.settings.cue.Vertex.Conjunct;

/**
 * Writes values in a canonical form: the same text for equal sets of conjuncts, whatever their
 * order. It compares types as well as settled values.
 */
final class Canonicalizer {
  /** The form of a value that nothing satisfies. */
  private static final String BOTTOM = "_|_";

  private final Evaluator evaluator;

  Canonicalizer(Evaluator evaluator) {
    this.evaluator = evaluator;
  }

  String canonical(Vertex vertex) {
    return canonical(vertex, 0);
  }

  String canonical(List<Evaluator.Choice> choices) {
    return canonical(choices, 0);
  }

  private String canonical(List<Evaluator.Choice> choices, int depth) {
    String values = join(choices.stream().map(Evaluator.Choice::vertex).toList(), depth);
    String defaults =
        join(
            choices.stream()
                .filter(Evaluator.Choice::isDefault)
                .map(Evaluator.Choice::vertex)
                .toList(),
            depth);
    return defaults.equals(values) ? values : values + " *(" + defaults + ")";
  }

  private String canonical(Vertex vertex, int depth) {
    evaluator.budget().stepAt(depth);
    if (vertex.conflict != null) {
      return BOTTOM;
    }
    if (vertex.isStruct()) {
      return canonicalStruct(vertex, depth);
    }
    if (vertex.isList()) {
      return canonicalList(vertex, depth);
    }
    return vertex.scalar.canonical();
  }

  private String canonicalStruct(Vertex struct, int depth) {
    TreeMap<String, String> fields = new TreeMap<>();
    for (Map.Entry<String, Arc> entry : struct.arcs.entrySet()) {
      String name = entry.getKey();
      Arc arc = entry.getValue();
      if (!Labels.isData(name)) {
        continue;
      }
      String value = canonicalField(struct, name, arc, depth);
      if (arc.presence == Expr.Presence.REGULAR && value.equals(BOTTOM)) {
        return BOTTOM;
      }
      fields.put(name + arc.presence.suffix(), value);
    }
    return fields.toString();
  }

  private String canonicalField(Vertex struct, String name, Arc arc, int depth) {
    return switch (arc.presence) {
      // An optional field may contain its own struct again, so only its name counts.
      case OPTIONAL -> "";
      case REQUIRED -> canonicalValue(struct, name, arc, depth);
      case REGULAR ->
          evaluator.fieldRules().rejection(struct, name).isPresent()
              ? BOTTOM
              : canonicalValue(struct, name, arc, depth);
    };
  }

  private String canonicalValue(Vertex struct, String name, Arc arc, int depth) {
    List<Conjunct> conjuncts = evaluator.fieldRules().conjuncts(struct, name, arc);
    return canonical(evaluator.evaluate(conjuncts), depth + 1);
  }

  private String canonicalList(Vertex list, int depth) {
    List<String> items = new ArrayList<>();
    int length = list.listLength();
    for (int index = 0; index < length; index++) {
      Optional<List<Conjunct>> conjuncts = list.itemConjuncts(index);
      String item =
          conjuncts.isEmpty() ? BOTTOM : canonical(evaluator.evaluate(conjuncts.get()), depth + 1);
      if (item.equals(BOTTOM)) {
        return BOTTOM;
      }
      items.add(item);
    }
    return items + (list.isOpenList() ? "..." : "");
  }

  /** The alternatives without those that another one includes. */
  private String join(List<Vertex> alternatives, int depth) {
    TreeMap<String, Vertex> remaining = new TreeMap<>();
    alternatives.forEach(vertex -> remaining.put(canonical(vertex, depth), vertex));
    remaining.remove(BOTTOM);
    if (remaining.size() > 1) {
      Map<String, Vertex> all = new TreeMap<>(remaining);
      all.forEach(
          (form, vertex) -> {
            if (isIncluded(form, vertex, all, depth)) {
              remaining.remove(form);
            }
          });
    }
    return remaining.isEmpty() ? BOTTOM : String.join(" | ", remaining.keySet());
  }

  /** Whether a value is an instance of another: unifying the two changes nothing in it. */
  private boolean isIncluded(String form, Vertex vertex, Map<String, Vertex> all, int depth) {
    return all.entrySet().stream()
        .filter(other -> !other.getKey().equals(form))
        .anyMatch(other -> form.equals(canonical(unify(vertex, other.getValue()), depth)));
  }

  private List<Evaluator.Choice> unify(Vertex first, Vertex second) {
    List<Conjunct> conjuncts = new ArrayList<>(first.conjuncts);
    conjuncts.addAll(second.conjuncts);
    return evaluator.evaluate(conjuncts);
  }
}
