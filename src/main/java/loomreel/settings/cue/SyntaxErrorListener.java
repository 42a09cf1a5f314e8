package loomreel.settings.cue;

import java.util.List;
import java.util.Map;
import loomreel.settings.grammar.CueLexer;
import loomreel.settings.grammar.CueParser;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/**
 * Words the errors of the lexer and the parser, and names the parts of CUE that are unsupported.
 */
final class SyntaxErrorListener extends BaseErrorListener {
  /** Receives the errors. */
  interface Receiver {
    /** An error at a place in the file; lines and columns count from 1. */
    void syntaxError(int line, int column, String reason);
  }

  /** What CUE has and this subset does not support, by the token that shows it. */
  private static final Map<Integer, String> UNSUPPORTED =
      Map.ofEntries(
          Map.entry(CueLexer.IMPORT, "imports are"),
          Map.entry(CueLexer.FOR, "comprehensions (for) are"),
          Map.entry(CueLexer.IF, "comprehensions (if) are"),
          Map.entry(CueLexer.LET, "let clauses are"),
          Map.entry(CueLexer.ATTRIBUTE, "attributes are"),
          Map.entry(CueLexer.BYTES, "bytes are"),
          Map.entry(CueLexer.MULTILINE, "multi-line strings are"),
          Map.entry(CueLexer.RAW, "raw strings are"),
          Map.entry(CueLexer.ALIAS, "aliases are"),
          Map.entry(CueLexer.ARITHMETIC, "arithmetic and logic are"),
          Map.entry(CueLexer.STAR, "arithmetic is"),
          Map.entry(CueLexer.PLUS, "arithmetic is"),
          Map.entry(CueLexer.MINUS, "arithmetic is"));

  private final Receiver receiver;

  SyntaxErrorListener(Receiver receiver) {
    this.receiver = receiver;
  }

  @Override
  public void syntaxError(
      Recognizer<?, ?> recognizer,
      Object symbol,
      int line,
      int column,
      String message,
      RecognitionException e) {
    String reason = symbol instanceof Token token ? unexpected(recognizer, token) : message;
    receiver.syntaxError(line, column + 1, reason);
  }

  private static String unexpected(Recognizer<?, ?> recognizer, Token token) {
    String unsupported = UNSUPPORTED.get(token.getType());
    if (unsupported != null) {
      return unsupported + " left out of this form";
    }
    String reason =
        token.getType() == Token.EOF
            ? "the file ends here"
            : "\"" + oneLine(token.getText()) + "\" is not expected here";
    return recognizer instanceof CueParser parser && followsIdentifier(parser, token)
        ? reason + " (a call of a builtin, an index and an embedding are left out of this form)"
        : reason;
  }

  private static String oneLine(String text) {
    return text.replace("\n", "\\n").replace("\r", "");
  }

  /**
   * Whether a token stands right after an identifier, as in {@code len(x)}, {@code x[0]} or {@code
   * {#A, b: 1}}.
   */
  private static boolean followsIdentifier(CueParser parser, Token token) {
    if (token.getTokenIndex() <= 0) {
      return false;
    }
    Token previous = parser.getTokenStream().get(token.getTokenIndex() - 1);
    return previous.getType() == CueLexer.IDENT
        && List.of(CueLexer.LPAREN, CueLexer.LBRACK, CueLexer.COMMA, CueLexer.RBRACE, Token.EOF)
            .contains(token.getType());
  }
}
