package loomreel.settings.cue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Unification is commutative, associative and idempotent, and no text breaks the reader. */
class UnificationTest {
  /** Tokens and fragments of which texts are composed. */
  private static final List<String> PIECES =
      List.of(
          "a",
          "b",
          "#D",
          "_h",
          ": ",
          ":",
          "{",
          "}",
          "[",
          "]",
          "(",
          ")",
          "...",
          "?",
          "!",
          ", ",
          "\n",
          " & ",
          " | ",
          "*",
          ">=",
          "<",
          "=~",
          "1",
          "2.5e3",
          "1Ki",
          "0x1F",
          "\"s\"",
          "\"\\u00e9\"",
          "\"\\q\"",
          "\"open",
          "// c\n",
          "int",
          "string",
          "null",
          "true",
          "import",
          "for",
          "if ",
          "let",
          "@x(1)",
          "'b'",
          "\"\"\"",
          "\\",
          "é",
          "\u0000",
          "#D.a",
          "a.b",
          "-",
          "+",
          "package p\n",
          "_|_",
          "_");

  private static final List<String> ATOMS =
      List.of(
          "1",
          "2",
          "3",
          "1.0",
          "2.5",
          "\"a\"",
          "\"b\"",
          "true",
          "null",
          "int",
          "float",
          "number",
          "string",
          "bool",
          "_",
          ">1",
          ">=2",
          "<3",
          "<=2",
          "!=2",
          "=~\"^a\"",
          "!~\"b\"",
          "uint",
          ">=\"a\"",
          "{a: 1}",
          "{a: int}",
          "{b?: 2}",
          "{a!: 1}",
          "{[string]: int}",
          "{[=~\"^a\"]: >1}",
          "[1, 2]",
          "[...int]",
          "[1, ...]",
          "[]",
          "{a: b, b: int}",
          "{#D: {c: 1}, a: #D}",
          "_|_");

  @Provide
  Arbitrary<String> values() {
    return values(2);
  }

  private Arbitrary<String> values(int depth) {
    Arbitrary<String> atoms = Arbitraries.of(ATOMS);
    if (depth == 0) {
      return atoms;
    }
    Arbitrary<String> inner = values(depth - 1);
    return Arbitraries.oneOf(
        atoms,
        pair(inner, "(", " & "),
        pair(inner, "(", " | "),
        pair(inner, "(*", " | "),
        inner.map(v -> "{a: " + v + "}"),
        inner.map(v -> "[" + v + "]"));
  }

  private static Arbitrary<String> pair(Arbitrary<String> of, String open, String operator) {
    return Combinators.combine(of, of).as((a, b) -> open + a + operator + b + ")");
  }

  @Property(tries = 400, seed = "20261201")
  void unificationIsCommutative(@ForAll("values") String a, @ForAll("values") String b)
      throws CueException {
    assertEquals(Cue.canonical(a + " & " + b), Cue.canonical(b + " & " + a));
  }

  @Property(tries = 400, seed = "20261201")
  void unificationIsAssociative(
      @ForAll("values") String a, @ForAll("values") String b, @ForAll("values") String c)
      throws CueException {
    assertEquals(
        Cue.canonical("(" + a + " & " + b + ") & " + c),
        Cue.canonical(a + " & (" + b + " & " + c + ")"));
  }

  @Property(tries = 400, seed = "20261201")
  void unificationIsIdempotent(@ForAll("values") String a) throws CueException {
    assertEquals(Cue.canonical(a), Cue.canonical(a + " & " + a));
  }

  /** Any text has a value or fails with the reader's own exception. */
  @Property(tries = 2000, seed = "20261201")
  void anyTextIsReadOrRejected(@ForAll("texts") String text) {
    try {
      assertTrue(Cue.read("any", text).value() != null);
    } catch (CueException e) {
      assertTrue(!e.problems().isEmpty());
    }
  }

  @Provide
  Arbitrary<String> texts() {
    Arbitrary<String> pieces = Arbitraries.of(PIECES);
    return Arbitraries.oneOf(
        pieces.list().ofMaxSize(60).map(l -> String.join("", l)),
        Arbitraries.strings().ofMaxLength(80),
        Combinators.combine(values(), values()).as((x, y) -> "a: " + x + "\nb: a & " + y + "\n"));
  }
}
