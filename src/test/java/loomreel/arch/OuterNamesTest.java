package loomreel.arch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Detects the loss of a name that something outside of the program depends on. */
class OuterNamesTest {
  private static final Path LIST = Path.of("src/test/resources/outer-names.txt");
  private static final Path SOURCES = Path.of("src/main/java/loomreel");
  private static final String ENUM_CONSTANT = "enum constant";

  /** A comment, a text block, a string literal (group 1 is its content) or a character literal. */
  private static final Pattern TOKEN =
      Pattern.compile(
          "//[^\\n]*|/\\*(?s:.*?)\\*/|\"\"\"(?s:.*?)\"\"\"|\"((?:\\\\.|[^\"\\\\])*)\"|'(?:\\\\.|[^'\\\\])+'");

  private record OuterName(String kind, String place, String name) {}

  private final Map<String, Set<String>> literalsByPackage = new HashMap<>();
  private final Map<String, String> fileTexts = new HashMap<>();

  @Test
  void eachListedNameIsStillInItsPlace() throws IOException {
    List<OuterName> listed = listedNames();

    List<OuterName> missing = listed.stream().filter(name -> !isPresent(name)).toList();

    assertFalse(listed.isEmpty());
    assertEquals(List.of(), missing);
  }

  private static List<OuterName> listedNames() throws IOException {
    return Files.readAllLines(LIST).stream()
        .filter(line -> !line.startsWith("#"))
        .map(line -> line.split("\t", -1))
        .map(columns -> new OuterName(columns[0], columns[1], columns[2]))
        .toList();
  }

  private boolean isPresent(OuterName outer) {
    if (outer.kind().equals(ENUM_CONSTANT)) {
      return constants(outer.place()).contains(outer.name());
    }
    if (outer.place().contains("/")) {
      return fileTexts
          .computeIfAbsent(outer.place(), place -> read(Path.of(place)))
          .lines()
          .anyMatch(line -> containsWord(line, outer.name()));
    }
    return literalsByPackage
        .computeIfAbsent(outer.place(), OuterNamesTest::literals)
        .contains(outer.name());
  }

  /** Returns whether a line contains the name, and not only as the end of a longer word. */
  private static boolean containsWord(String line, String name) {
    return Pattern.compile("(?<!\\w)" + Pattern.quote(name)).matcher(line).find();
  }

  private static List<String> constants(String enumName) {
    try {
      return Arrays.stream(Class.forName(enumName).getEnumConstants())
          .map(constant -> ((Enum<?>) constant).name())
          .toList();
    } catch (ClassNotFoundException e) {
      return List.of();
    }
  }

  /** The string literals of a package's classes as they are written in the source. */
  private static Set<String> literals(String packageName) {
    Path folder = SOURCES.resolve(packageName.replace('.', '/'));
    Set<String> literals = new HashSet<>();
    try (Stream<Path> files = Files.list(folder)) {
      files
          .filter(file -> file.toString().endsWith(".java"))
          .flatMap(file -> TOKEN.matcher(read(file)).results())
          .map((MatchResult token) -> token.group(1))
          .forEach(literals::add);
      return literals;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
