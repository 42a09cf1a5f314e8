package loomreel.settings.cue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** A schema, and the reader of files that are unified with one of its definitions. */
public final class Cue {
  private final Expr.Struct schema;
  private final String text;
  private final String name;

  private Cue(String name, String text, Expr.Struct schema) {
    this.name = name;
    this.text = text;
    this.schema = schema;
  }

  /**
   * Parses a schema.
   *
   * @param name for messages
   * @throws CueException if it cannot be read
   */
  public static Cue schema(String name, String text) throws CueException {
    return new Cue(name, text, CueReader.read(name, text));
  }

  /** The schema as it is written. */
  public String text() {
    return text;
  }

  /**
   * The schema as JSON Schema (draft 2020-12), for editors; {@code definition} is what a file is.
   */
  public String jsonSchema(String definition) {
    return new JsonSchema(schema, definition).text();
  }

  /**
   * Unifies a file with a definition of the schema, as {@code cue vet -d} does.
   *
   * @param file its name, for messages
   * @throws CueException with all that is wrong with it
   */
  public Tree read(String file, String document, String definition) throws CueException {
    Expr.Struct struct = CueReader.read(file, document);
    Position start = new Position(file, 1, 1);
    try {
      Evaluator evaluator = new Evaluator();
      Vertex.Scope scope = new Vertex.Scope(null, schema, evaluator.evaluateFile(schema, null));
      Expr reference = new Expr.Reference(List.of(definition), start);
      List<Evaluator.Choice> choices =
          evaluator.evaluate(
              List.of(
                  new Vertex.Conjunct(struct, scope, List.of(), 0),
                  new Vertex.Conjunct(reference, scope, List.of(), 0)));
      Optional<Vertex> settled = Evaluator.settle(choices);
      if (settled.isEmpty()) {
        throw new CueException(
            List.of(Problem.gap(start, "", "not settled which of several forms it has")));
      }
      return settledTree(evaluator, settled.get(), start);
    } catch (EvaluationBudget.ExceededException e) {
      throw budgetExceeded(start, e);
    }
  }

  /**
   * Evaluates a file by itself.
   *
   * @throws CueException with all that is wrong with it
   */
  public static Tree read(String file, String document) throws CueException {
    Expr.Struct struct = CueReader.read(file, document);
    Position start = new Position(file, 1, 1);
    try {
      Evaluator evaluator = new Evaluator();
      return settledTree(evaluator, evaluator.evaluateFile(struct, null), start);
    } catch (EvaluationBudget.ExceededException e) {
      throw budgetExceeded(start, e);
    }
  }

  /**
   * An expression in a canonical form, which is the same for equal ones; {@code _|_} where nothing
   * satisfies it. It compares types as well as settled values.
   *
   * @throws CueException if it cannot be read, or would take too long
   */
  public static String canonical(String expression) throws CueException {
    Expr.Struct struct = CueReader.read("expression", "it: " + expression + "\n");
    try {
      Evaluator evaluator = new Evaluator();
      Vertex file = evaluator.evaluateFile(struct, null);
      return evaluator.canonicalizer().canonical(evaluator.evaluate(file.arcs.get("it").conjuncts));
    } catch (EvaluationBudget.ExceededException e) {
      throw budgetExceeded(new Position("expression", 1, 1), e);
    }
  }

  private static Tree settledTree(Evaluator evaluator, Vertex vertex, Position at)
      throws CueException {
    TreeBuilder builder = new TreeBuilder(evaluator);
    Tree tree = builder.build(vertex);
    if (!builder.problems().isEmpty()) {
      throw new CueException(builder.problems());
    }
    return new Tree(tree.value(), at);
  }

  private static CueException budgetExceeded(
      Position start, EvaluationBudget.ExceededException cause) {
    return new CueException(List.of(Problem.conflict(start, "", cause.getMessage())));
  }

  /**
   * Parses a schema that is a resource beside a class.
   *
   * @throws CueException if it cannot be read
   */
  public static Cue resource(Class<?> beside, String resource) throws CueException {
    try (var in = beside.getResourceAsStream(resource)) {
      return schema(resource, new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (java.io.IOException e) {
      throw new IllegalStateException("the jar lacks " + resource, e);
    }
  }

  @Override
  public String toString() {
    return name;
  }
}
