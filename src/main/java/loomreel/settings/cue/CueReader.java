package loomreel.settings.cue;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import loomreel.settings.grammar.CueLexer;
import loomreel.settings.grammar.CueParser;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;

/** Parses the text of a file into expressions. One reader parses one file. */
final class CueReader {
  /** The deepest nesting; deeper files could exhaust the parser's stack. */
  static final int MAX_DEPTH = 48;

  /** The longest file. */
  static final int MAX_CHARACTERS = 1 << 20;

  private static final int MAX_PROBLEMS = 100;

  private final String file;
  private final List<Problem> problems = new ArrayList<>();

  private CueReader(String file) {
    this.file = file;
  }

  /**
   * Reads a file.
   *
   * @param file its name, for messages
   * @throws CueException with all that is wrong with the text
   */
  static Expr.Struct read(String file, String text) throws CueException {
    CueReader reader = new CueReader(file);
    Expr.Struct struct = reader.parse(text);
    if (!reader.problems.isEmpty()) {
      throw new CueException(reader.problems);
    }
    return struct;
  }

  private void problem(Position at, String reason) {
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(Problem.conflict(at, "", reason));
    }
  }

  private Expr.Struct parse(String text) {
    Position start = new Position(file, 1, 1);
    if (text.length() > MAX_CHARACTERS) {
      problem(start, "longer than " + MAX_CHARACTERS + " characters");
      return null;
    }
    CueLexer lexer = new CueLexer(CharStreams.fromString(text, file));
    CommonTokenStream tokens = new CommonTokenStream(lexer);
    SyntaxErrorListener errors = new SyntaxErrorListener(this::syntaxError);
    lexer.removeErrorListeners();
    lexer.addErrorListener(errors);
    tokens.fill();
    // Checked before parsing, since the parser recurses as deep as the text nests.
    if (!checkDepth(tokens.getTokens())) {
      return null;
    }
    CueParser parser = new CueParser(tokens);
    parser.removeErrorListeners();
    parser.addErrorListener(errors);
    CueParser.FileContext tree = parser.file();
    return problems.isEmpty() ? struct(tree.declarations(), start) : null;
  }

  private void syntaxError(int line, int column, String reason) {
    problem(new Position(file, line, column), reason);
  }

  /** Whether no part of the file is nested too deep; a part that is becomes a problem. */
  private boolean checkDepth(List<Token> tokens) {
    int depth = 0;
    int labels = 0;
    int prefixes = 0;
    for (Token token : tokens) {
      switch (token.getType()) {
        case CueLexer.LBRACE, CueLexer.LBRACK, CueLexer.LPAREN -> depth++;
        case CueLexer.RBRACE, CueLexer.RBRACK, CueLexer.RPAREN -> depth--;
        case CueLexer.COLON -> labels++;
        case CueLexer.COMMA -> labels = 0;
        default -> {}
      }
      prefixes =
          switch (token.getType()) {
            case CueLexer.LT,
                CueLexer.LE,
                CueLexer.GT,
                CueLexer.GE,
                CueLexer.NE,
                CueLexer.MATCH,
                CueLexer.NOMATCH,
                CueLexer.STAR ->
                prefixes + 1;
            default -> 0;
          };
      if (depth + labels > MAX_DEPTH || prefixes > MAX_DEPTH) {
        problem(at(token), "nested more than " + MAX_DEPTH + " deep");
        return false;
      }
    }
    return true;
  }

  private Position at(Token token) {
    return new Position(file, token.getLine(), token.getCharPositionInLine() + 1);
  }

  private Position at(ParserRuleContext context) {
    return at(context.getStart());
  }

  private Expr.Struct struct(CueParser.DeclarationsContext context, Position at) {
    List<Expr.Field> fields = new ArrayList<>();
    boolean open = false;
    for (CueParser.DeclarationContext declaration : context.declaration()) {
      if (declaration instanceof CueParser.FieldContext field) {
        fields.add(field(field, 0));
      } else {
        open = true;
      }
    }
    return new Expr.Struct(List.copyOf(fields), open, at);
  }

  /** {@code a: b: 1} is {@code a: {b: 1}}. */
  private Expr.Field field(CueParser.FieldContext context, int label) {
    CueParser.LabelContext next = context.label(label);
    Position at = at(next);
    Expr value =
        label + 1 < context.label().size()
            ? new Expr.Struct(
                List.of(field(context, label + 1)), false, at(context.label(label + 1)))
            : expr(context.expr());
    Expr.Presence mark =
        next.mark == null
            ? Expr.Presence.REGULAR
            : next.mark.getType() == CueParser.OPT
                ? Expr.Presence.OPTIONAL
                : Expr.Presence.REQUIRED;
    CueParser.NameContext name = next.name();
    if (name.expr() != null) {
      if (mark != Expr.Presence.REGULAR) {
        problem(at, "a pattern is neither optional nor required");
      }
      return new Expr.Field(null, expr(name.expr()), Expr.Presence.OPTIONAL, value, at);
    }
    return new Expr.Field(
        name.STRING() != null ? string(name.STRING().getSymbol()) : name.IDENT().getText(),
        null,
        mark,
        value,
        at);
  }

  private Expr expr(CueParser.ExprContext context) {
    List<Expr.Disjunct> alternatives = new ArrayList<>();
    for (CueParser.ConjunctionContext conjunction : context.conjunction()) {
      List<Expr> parts = new ArrayList<>();
      boolean isDefault = false;
      for (CueParser.MarkedContext marked : conjunction.marked()) {
        parts.add(operand(marked.operand()));
        if (marked.STAR() != null) {
          isDefault = true;
          if (context.conjunction().size() == 1 || conjunction.marked().size() > 1) {
            problem(at(marked), "a default mark stands before one of several alternatives");
          }
        }
      }
      alternatives.add(
          new Expr.Disjunct(
              parts.size() == 1
                  ? parts.get(0)
                  : new Expr.Conjunction(List.copyOf(parts), at(conjunction)),
              isDefault));
    }
    return alternatives.size() == 1
        ? alternatives.get(0).value()
        : new Expr.Disjunction(List.copyOf(alternatives), at(context));
  }

  private Expr operand(CueParser.OperandContext context) {
    Position at = at(context);
    if (context instanceof CueParser.GroupContext group) {
      return expr(group.expr());
    } else if (context instanceof CueParser.StructContext struct) {
      return struct(struct.declarations(), at);
    } else if (context instanceof CueParser.ListingContext list) {
      return listing(list, at);
    } else if (context instanceof CueParser.ReferenceContext ref) {
      List<String> names = new ArrayList<>();
      for (int i = 0; i < ref.getChildCount(); i += 2) {
        String name = ref.getChild(i).getText();
        names.add(name.startsWith("\"") ? StringLiterals.unquote(name) : name);
      }
      return new Expr.Reference(List.copyOf(names), at);
    } else if (context instanceof CueParser.BoundContext bound) {
      if (operand(bound.operand()) instanceof Expr.Literal literal
          && literal.value() != Expr.NullValue.NULL) {
        return new Expr.Bound(bound.op.getText(), literal.value(), at);
      }
      problem(at, bound.op.getText() + " stands before a number, a string or a boolean");
      return new Expr.Bottom(at);
    } else if (context instanceof CueParser.SignedContext signed) {
      Object value = number(signed.NUMBER().getSymbol());
      return new Expr.Literal(
          signed.op.getType() != CueParser.MINUS
              ? value
              : value instanceof BigInteger i ? i.negate() : ((BigDecimal) value).negate(),
          at);
    } else if (context instanceof CueParser.NumberContext number) {
      return new Expr.Literal(number(number.NUMBER().getSymbol()), at);
    } else if (context instanceof CueParser.TextContext text) {
      return new Expr.Literal(string(text.STRING().getSymbol()), at);
    } else if (context instanceof CueParser.ConstantContext constant) {
      return new Expr.Literal(
          constant.NULL() != null ? Expr.NullValue.NULL : (Object) (constant.TRUE() != null), at);
    }
    return context instanceof CueParser.TopContext ? new Expr.Top(at) : new Expr.Bottom(at);
  }

  private Expr listing(CueParser.ListingContext context, Position at) {
    CueParser.ItemsContext items = context.items();
    if (items == null) {
      return new Expr.ListExpr(List.of(), null, at);
    }
    List<Expr> all = new ArrayList<>(items.expr().stream().map(this::expr).toList());
    Expr rest = null;
    if (items.ELLIPSIS() != null) {
      // The type of the rest, where there is one, is what follows the ellipsis.
      boolean typed =
          !items.expr().isEmpty()
              && items.expr().get(items.expr().size() - 1).getStart().getTokenIndex()
                  > items.ELLIPSIS().getSymbol().getTokenIndex();
      rest = typed ? all.remove(all.size() - 1) : new Expr.Top(at);
    }
    return new Expr.ListExpr(List.copyOf(all), rest, at);
  }

  private String string(Token token) {
    try {
      return StringLiterals.unquote(token.getText());
    } catch (IllegalArgumentException e) {
      problem(at(token), e.getMessage());
      return "";
    }
  }

  private Object number(Token token) {
    try {
      return NumberLiterals.parse(token.getText());
    } catch (IllegalArgumentException e) {
      problem(at(token), e.getMessage());
      return BigInteger.ZERO;
    }
  }
}
