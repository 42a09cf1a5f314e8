package loomreel.settings.cue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A value under evaluation: the unified conjuncts of one place. Its fields are evaluated lazily.
 */
final class Vertex {
  /**
   * One of the expressions that are unified into a value.
   *
   * @param scope where its references are looked up
   * @param closers the definitions that it came through: what they do not name is not allowed
   *     beside it
   * @param references how many references led here
   */
  record Conjunct(Expr expr, Scope scope, List<Closer> closers, int references) {
    Conjunct with(Expr other) {
      return new Conjunct(other, scope, closers, references);
    }
  }

  /** One use of a definition. */
  static final class Closer {}

  /** The names that a struct declares, and the value that they belong to. */
  record Scope(Scope parent, Expr.Struct struct, Vertex vertex) {}

  /** A field: its conjuncts, and whether it is there. */
  static final class Arc {
    final List<Conjunct> conjuncts = new ArrayList<>();
    Expr.Presence presence = Expr.Presence.OPTIONAL;

    /** Where the field is declared with that presence. */
    Position at;

    void add(Conjunct conjunct, Expr.Presence added, Position where) {
      conjuncts.add(conjunct);
      boolean isStronger = added.isStrongerThan(presence);
      if (isStronger || at == null) {
        presence = isStronger ? added : presence;
        at = where;
      }
    }
  }

  /** A pattern constraint: a label that matches many names, and the value of such fields. */
  record Pattern(Conjunct label, Conjunct value) {}

  /** The fields that one use of a definition allows in this struct. */
  static final class Allowed {
    final Set<String> names = new HashSet<>();
    final List<Conjunct> patterns = new ArrayList<>();
    boolean open;
  }

  final Map<String, Arc> arcs = new LinkedHashMap<>();
  final List<Pattern> patterns = new ArrayList<>();
  final Map<Closer, Allowed> allowed = new LinkedHashMap<>();
  final Scalar scalar = new Scalar();
  final List<Conjunct> lists = new ArrayList<>();

  /** The conjuncts, with references and disjunctions resolved. */
  List<Conjunct> conjuncts = List.of();

  /** The first conjunct that makes it a struct. */
  Position structAt;

  /** The first conjunct that makes it neither a struct nor a list. */
  Position scalarAt;

  Problem conflict;
  Position at;

  boolean isStruct() {
    return structAt != null;
  }

  boolean isList() {
    return !lists.isEmpty();
  }

  /** The length of the longest of the lists; 0 where there is none. */
  int listLength() {
    return lists.stream()
        .mapToInt(conjunct -> ((Expr.ListExpr) conjunct.expr()).items().size())
        .max()
        .orElse(0);
  }

  /** Whether all of the lists admit more items than they name. */
  boolean isOpenList() {
    return lists.stream().allMatch(conjunct -> ((Expr.ListExpr) conjunct.expr()).rest() != null);
  }

  /** The conjuncts of a list's item, or empty where one of the lists admits no such item. */
  Optional<List<Conjunct>> itemConjuncts(int index) {
    List<Conjunct> conjuncts = new ArrayList<>();
    for (Conjunct conjunct : lists) {
      Expr.ListExpr list = (Expr.ListExpr) conjunct.expr();
      Expr item = index < list.items().size() ? list.items().get(index) : list.rest();
      if (item == null) {
        return Optional.empty();
      }
      conjuncts.add(conjunct.with(item));
    }
    return Optional.of(conjuncts);
  }
}
