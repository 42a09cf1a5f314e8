package loomreel.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Verifies how operator overrides are stored for later processes. The format of the file must not
 * change, because processes of other versions read the file.
 */
class OperatorOverridesStoreTest {
  /** The content of the file for {@link #OVERRIDES}. The format is the same in all versions. */
  private static final String FILE_CONTENT = "drained\ndown s-5be2a07c\ndown w 0\n";

  private static final OperatorOverrides OVERRIDES =
      new OperatorOverrides(true, Set.of("s-5be2a07c", "w 0"));

  @TempDir Path directory;

  private Path file() {
    return directory.resolve("n0.state");
  }

  private OperatorOverridesStore store() {
    return new OperatorOverridesStore(Optional.of(file()));
  }

  @Test
  void aFileInTheFormatThatAllVersionsUseIsRead() throws IOException {
    Files.writeString(file(), FILE_CONTENT);
    assertEquals(OVERRIDES, store().load());
  }

  @Test
  void aFileIsWrittenInTheFormatThatAllVersionsUse() throws IOException {
    store()
        .save(
            OperatorOverrides.NONE
                .withWorkerDisabled("w 0", true)
                .withWorkerDisabled("w1", true)
                .withWorkerDisabled("s-5be2a07c", true)
                .withClientsDrained(true)
                .withWorkerDisabled("w1", false));
    assertEquals(FILE_CONTENT, Files.readString(file()));
  }

  @Test
  void savingLeavesNoTemporaryFile() throws IOException {
    store().save(OVERRIDES);
    store().save(OperatorOverrides.NONE);
    assertEquals("", Files.readString(file()));
    try (Stream<Path> files = Files.list(directory)) {
      assertEquals(List.of(file()), files.toList());
    }
  }

  @Test
  void ifTheFileDoesNotExistThereAreNoOverrides() throws IOException {
    assertEquals(OperatorOverrides.NONE, store().load());
  }

  @Test
  void ifNoFileIsConfiguredNothingIsStored() throws IOException {
    OperatorOverridesStore store = new OperatorOverridesStore(Optional.empty());
    store.save(OVERRIDES);
    assertEquals(OperatorOverrides.NONE, store.load());
  }
}
