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

/**
 * Verifies that the deploy files list, under {@code policy}, the source files that contain decision
 * logic. Also verifies a minimum size of these files and a maximum length of the lines of the
 * decision module.
 */
class PolicyFilesTest {
  private static final Path SOURCES = Path.of("src/main/java/loomreel/decision");

  /** The number of non-blank lines that the policy files together must exceed. */
  private static final int MIN_NON_BLANK_LINES = 100;

  /** The maximum number of characters in a line of the decision module. */
  private static final int MAX_LINE_LENGTH = 110;

  /**
   * The types that contain decision logic: they choose workers, or they decide about retries,
   * rejections, admissions or health checks. Some of these types emit no {@link Action}.
   */
  private static final Set<String> DECIDING_TYPES =
      Set.of(
          "DispatchPolicy",
          "RequestScheduler",
          "WorkerSelector",
          "RetryPolicy",
          "AdmissionController",
          "HealthCheckPolicy");

  /** Returns the files that a deploy file lists under {@code policy}. */
  private static Set<Path> policyFiles(String deployFile) throws IOException {
    JsonNode deployment = new TomlMapper().readTree(new File(deployFile));
    return StreamSupport.stream(deployment.get("policy").spliterator(), false)
        .map(file -> Path.of(file.asText()))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static Path sourceFile(String typeName) {
    return SOURCES.resolve(typeName + ".java");
  }

  /**
   * Returns the source files whose classes construct an action or call {@link PolicyContext#emit}.
   */
  private static Set<Path> emittingFiles() {
    return new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("loomreel.decision")
            .stream()
            .filter(type -> type.getAccessesFromSelf().stream().anyMatch(PolicyFilesTest::emits))
            .map(type -> sourceFile(outermostClass(type).getSimpleName()))
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

  private static JavaClass outermostClass(JavaClass type) {
    return type.getEnclosingClass().map(PolicyFilesTest::outermostClass).orElse(type);
  }

  @ParameterizedTest
  @ValueSource(strings = {"deploy/balancer.toml", "deploy/traced.toml"})
  void theDeployFileListsEveryDecidingType(String deployFile) throws IOException {
    Set<Path> files = policyFiles(deployFile);

    for (String type : DECIDING_TYPES) {
      assertTrue(files.contains(sourceFile(type)), type + " is not among the policy files");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"deploy/balancer.toml", "deploy/traced.toml"})
  void theDeployFileListsEveryFileThatEmitsActions(String deployFile) throws IOException {
    Set<Path> missingFiles = emittingFiles();
    assertTrue(
        missingFiles.contains(sourceFile("RequestScheduler")),
        "files that emit actions: " + missingFiles);

    missingFiles.removeAll(policyFiles(deployFile));

    assertEquals(
        Set.of(), missingFiles, "these files emit actions but are not among the policy files");
  }

  @ParameterizedTest
  @ValueSource(strings = {"deploy/balancer.toml", "deploy/traced.toml"})
  void theDeployFileListsOnlyExistingFilesOfTheDecisionModule(String deployFile)
      throws IOException {
    for (Path file : policyFiles(deployFile)) {
      assertEquals(SOURCES, file.getParent());
      assertTrue(Files.exists(file), file + " does not exist");
    }
  }

  @Test
  void thePolicyFilesExceedTheMinimumNumberOfLines() throws IOException {
    long nonBlankLines = 0;
    for (Path file : policyFiles("deploy/balancer.toml")) {
      nonBlankLines += Files.readAllLines(file).stream().filter(line -> !line.isBlank()).count();
    }

    assertTrue(nonBlankLines > MIN_NON_BLANK_LINES, nonBlankLines + " lines");
  }

  @Test
  void noLineOfTheDecisionModuleExceedsTheMaximumLength() throws IOException {
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
