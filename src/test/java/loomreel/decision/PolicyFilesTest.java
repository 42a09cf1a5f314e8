package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The deploy files name, under {@code policy}, the source files that hold decision logic. */
class PolicyFilesTest {
  private static final Path SOURCES = Path.of("src/main/java/loomreel/decision");
  private static final int MIN_LINES = 100;
  private static final int MAX_LINE_LENGTH = 110;

  /** What chooses a worker, a retry, a rejection or an admission, whether or not it emits. */
  private static final Set<String> CHOOSING_TYPES =
      Set.of(
          "DispatchPolicy",
          "RequestScheduler",
          "WorkerSelector",
          "RetryPolicy",
          "AdmissionController",
          "HealthCheckPolicy");

  private static Set<Path> policyFiles(String deployFile) throws IOException {
    JsonNode deployment = new TomlMapper().readTree(new File(deployFile));
    return StreamSupport.stream(deployment.get("policy").spliterator(), false)
        .map(file -> Path.of(file.asText()))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static Path sourceFile(String typeName) {
    return SOURCES.resolve(typeName + ".java");
  }

  /** The source files whose classes construct an action or call {@link PolicyContext#emit}. */
  private static Set<Path> emittingFiles() {
    return new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("loomreel.decision")
            .stream()
            .filter(type -> type.getAccessesFromSelf().stream().anyMatch(PolicyFilesTest::emits))
            .map(type -> sourceFile(outermost(type).getSimpleName()))
            .collect(Collectors.toCollection(TreeSet::new));
  }

  private static boolean emits(JavaAccess<?> access) {
    boolean constructsAction =
        access.getTargetOwner().isAssignableTo(Action.class) && access.getName().equals("<init>");
    boolean callsEmit =
        access.getTargetOwner().isEquivalentTo(PolicyContext.class)
            && access.getName().equals("emit");
    return constructsAction || callsEmit;
  }

  private static JavaClass outermost(JavaClass type) {
    return type.getEnclosingClass().map(PolicyFilesTest::outermost).orElse(type);
  }

  @ParameterizedTest
  @ValueSource(strings = {"deploy/balancer.toml", "deploy/traced.toml"})
  void theDeployFileNamesEveryFileThatChooses(String deployFile) throws IOException {
    Set<Path> files = policyFiles(deployFile);

    for (String type : CHOOSING_TYPES) {
      assertTrue(files.contains(sourceFile(type)), type + " is not among the policy files");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"deploy/balancer.toml", "deploy/traced.toml"})
  void theDeployFileNamesEveryFileThatEmitsActions(String deployFile) throws IOException {
    Set<Path> missing = emittingFiles();
    assertTrue(missing.contains(sourceFile("RequestScheduler")), "found: " + missing);

    missing.removeAll(policyFiles(deployFile));

    assertEquals(Set.of(), missing, "emit actions, and are not among the policy files");
  }

  @ParameterizedTest
  @ValueSource(strings = {"deploy/balancer.toml", "deploy/traced.toml"})
  void theDeployFileNamesOnlyFilesOfTheDecisionModule(String deployFile) throws IOException {
    for (Path file : policyFiles(deployFile)) {
      assertEquals(SOURCES, file.getParent());
      assertTrue(Files.exists(file), file + " does not exist");
    }
  }

  @Test
  void thePolicyFilesHoldTheDecisionLogic() throws IOException {
    long filledLines = 0;
    for (Path file : policyFiles("deploy/balancer.toml")) {
      filledLines += Files.readAllLines(file).stream().filter(line -> !line.isBlank()).count();
    }

    assertTrue(filledLines > MIN_LINES, filledLines + " lines");
  }

  @Test
  void noLineOfTheDecisionModuleIsTooLong() throws IOException {
    List<Path> files;
    try (Stream<Path> paths = Files.list(SOURCES)) {
      files = paths.toList();
    }
    assertFalse(files.isEmpty());

    for (Path file : files) {
      for (String line : Files.readAllLines(file)) {
        assertTrue(
            line.length() <= MAX_LINE_LENGTH,
            () -> file + " has a line over " + MAX_LINE_LENGTH + " characters: " + line);
      }
    }
  }
}
