package loomreel.settings.cue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The values and errors of files, as CUE's own tools report them. */
class CueTest {
  /** As -Xss in {@code deploy/balancer.toml}. */
  private static final int DEPLOYED_STACK_BYTES = 512 * 1024;

  @ParameterizedTest
  @CsvSource(
      delimiter = '§',
      quoteCharacter = '`',
      value = {
        "{\"a\": 1, \"b\": [true, null, -2.5e1], \"c\": {\"d\":"
            + " \"x\"}}§{\"a\":1,\"b\":[true,null,-25],\"c\":{\"d\":\"x\"}}",
        "a: b: 1⏎a: c: 2§{\"a\":{\"b\":1,\"c\":2}}",
        "package p⏎x: 1 // one⏎y: x§{\"x\":1,\"y\":1}",
        "a: int & >=1 & <=4 | *2§{\"a\":2}",
        "a: int | *2⏎a: 3§{\"a\":3}",
        "#A: {x: int, y: x}⏎b: #A & {x: 3}§{\"b\":{\"x\":3,\"y\":3}}",
        "#A: {x: int | *1, z?: string}⏎b: #A§{\"b\":{\"x\":1}}",
        "m: [string]: {k: int | *7}⏎m: q: {}§{\"m\":{\"q\":{\"k\":7}}}",
        "l: [...{k: int | *7}]⏎l: [{}, {k: 1}]§{\"l\":[{\"k\":7},{\"k\":1}]}",
        "#S: {t: \"a\", v: int} | {t: \"b\", w: int}⏎x: #S & {t: \"b\", w:"
            + " 1}§{\"x\":{\"t\":\"b\",\"w\":1}}",
        "_h: 3⏎x: _h§{\"x\":3}",
        "a: x: 1⏎b: a.x§{\"b\":1,\"a\":{\"x\":1}}",
        "n: 64Ki⏎m: 1_000⏎h: 0x1F⏎k: 2K§{\"n\":65536,\"m\":1000,\"h\":31,\"k\":2000}",
        "s: \"\\u00e9\\n\\\"\"§{\"s\":\"é\\n\\\"\"}",
        "#T: {v: int, next?: #T}⏎t: #T & {v: 1, next: {v: 2}}§{\"t\":{\"v\":1,\"next\":{\"v\":2}}}",
        "a: {...}⏎a: {z: 1}§{\"a\":{\"z\":1}}"
      })
  void aValidFileHasTheValueOfItsJson(String text, String json) throws Exception {
    Tree expected = Cue.read("expected", json);
    assertEquals(expected.toString(), Cue.read("file", text.replace('⏎', '\n')).toString());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '§',
      quoteCharacter = '`',
      value = {
        "a: 1⏎a: 2§file:2:4: a: conflicting values 2 and 1 (file:1:4)",
        "#A: {x: int}⏎b: #A & {xx: 3}§file:2:10: b.xx: no such field; meant x?",
        "#A: {p: {x: int}}⏎b: #A & {p: {y: 3}}§file:2:14: b.p.y: no such field; meant x?",
        "#A: {x: 1}⏎#B: #A & {y: 1}⏎c: #B§file:2:11: c.y: no such field; meant x?",
        "a: >=5 & <=4§file:1:10: a: nothing is >= 5 (file:1:4) and <= 4",
        "a: int & >2 & <3§file:1:15: a: nothing is > 2 (file:1:10) and < 3",
        "a: \"x\" & =~\"^y\"§file:1:4: a: \"x\" is not =~ \"^y\" (file:1:10)",
        "a: int§file:1:4: a: not settled: int",
        "a: {b!: int}§file:1:4: a.b: is missing",
        "a: 1 | 2§file:1:1: a: not settled: 1 | 2",
        "a: [1, 2] & [1]§file:1:4: a: lists of different lengths",
        "a: {} & 1§file:1:9: a: a struct (file:1:4) and 1",
        "a: nowhere§file:1:4: a: nothing is called nowhere",
        "a: b⏎b: a§file:1:4: a: a circle of references",
        "a: \"\\(b)\"§file:1:4: interpolation, \\(...), is left out of this form",
        "import \"strings\"§file:1:1: imports are left out of this form",
        "a: 1 + 2§file:1:6: arithmetic is left out of this form",
        "a: 1 * 2§file:1:6: arithmetic is left out of this form",
        "let x = 1§file:1:1: let clauses are left out of this form",
        "a: [for x in y {x}]§file:1:5: comprehensions (for) are left out of this form",
        "a: 'b'§file:1:4: bytes are left out of this form"
      })
  void anInvalidFileIsRejectedWithPlaceAndReason(String text, String message) {
    CueException e =
        assertThrows(CueException.class, () -> Cue.read("file", text.replace('⏎', '\n')));
    assertTrue(e.getMessage().lines().anyMatch(message::equals), e.getMessage());
  }

  @Test
  void allProblemsOfAFileAreReportedTogether() {
    CueException e =
        assertThrows(
            CueException.class,
            () ->
                Cue.read(
                    "file", "#A: {x: int, y: string}\na: #A & {x: \"s\", y: 1, z: 2}\nb: 1 & 2\n"));
    assertEquals(4, e.problems().size(), e.getMessage());
  }

  /** None of these may occupy the reader for long, or exhaust its stack. */
  @Test
  void deepOrWideFilesAreRejectedQuickly() {
    String wide = "a: " + "(1 | 2 | 3) & ".repeat(24) + "_";
    String doubling =
        "#A0: {x: 1}\n"
            + java.util.stream.IntStream.range(1, 40)
                .mapToObj(i -> "#A" + i + ": {l: #A" + (i - 1) + ", r: #A" + (i - 1) + "}\n")
                .collect(java.util.stream.Collectors.joining())
            + "a: #A39";
    for (String text :
        new String[] {
          "a: " + "[".repeat(100_000),
          "a: " + "(".repeat(100_000) + "1",
          "a: ".repeat(50_000) + "1",
          "a: " + "<".repeat(50_000) + "1",
          "{".repeat(9_000) + "}".repeat(9_000),
          "#T: {n: #T}\na: #T",
          doubling,
          "x".repeat(CueReader.MAX_CHARACTERS + 1)
        }) {
      assertTimeoutPreemptively(
          Duration.ofSeconds(60),
          () -> assertThrows(CueException.class, () -> Cue.read("file", text)));
    }
    assertTimeoutPreemptively(
        Duration.ofSeconds(60),
        () -> assertThrows(CueException.class, () -> Cue.read("file", wide)));
    assertTimeoutPreemptively(
        Duration.ofSeconds(60),
        () ->
            assertEquals(
                "{\"a\":1}", Cue.read("file", "a: " + "1 & ".repeat(50_000) + "1").toString()));
  }

  /** Each alternative is evaluated by itself, within the struct that it may hold again. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "#A: {n: #A | {x: 1}}\na: #A",
        "#A: {n: {x: 1} | #A}\na: #A",
        "#A: {n: *#A | int}\na: #A",
        "#A: {l: [#A | int]}\na: #A",
        "#A: {n: #B | int}\n#B: {m: #A | string}\na: #A",
        "a: {n: a | 1}"
      })
  void aStructThatHoldsItselfThroughADisjunctionIsRejected(String text) throws Exception {
    AtomicReference<Throwable> failure = new AtomicReference<>();
    Thread reader =
        new Thread(
            null,
            () -> failure.set(assertThrows(Throwable.class, () -> Cue.read("file", text))),
            "reader",
            DEPLOYED_STACK_BYTES);
    reader.start();
    reader.join(60_000);
    CueException e = assertInstanceOf(CueException.class, failure.get());
    assertTrue(e.getMessage().startsWith("file:"), e.getMessage());
  }
}
