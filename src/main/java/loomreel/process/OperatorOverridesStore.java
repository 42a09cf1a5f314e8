package loomreel.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import loomreel.io.RateLimitedLogger;

/** Stores {@link OperatorOverrides} in a file that the next process of this dispatcher reads. */
public final class OperatorOverridesStore {
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.process.operators");
  private final Optional<Path> file;

  /**
   * Creates a store.
   *
   * @param file the file in which the overrides are stored; if empty, nothing is stored
   */
  public OperatorOverridesStore(Optional<Path> file) {
    this.file = file;
  }

  /**
   * Returns the stored overrides. If the file cannot be read, logs the error and returns {@link
   * OperatorOverrides#NONE}.
   */
  public OperatorOverrides loadOrNone() {
    try {
      return load();
    } catch (IOException e) {
      log.warn("operator overrides not read, none are in force reason=" + e.getMessage());
      return OperatorOverrides.NONE;
    }
  }

  /**
   * Returns the overrides that a process of this dispatcher saved most recently, or {@link
   * OperatorOverrides#NONE} if there is no file.
   *
   * @throws IOException if the file cannot be read
   */
  OperatorOverrides load() throws IOException {
    if (file.isEmpty() || !Files.exists(file.get())) {
      return OperatorOverrides.NONE;
    }
    return OperatorOverrides.parse(Files.readString(file.get()));
  }

  /**
   * Stores the overrides. The file is replaced atomically, so that no process reads an incomplete
   * file. Does nothing if the store has no file.
   *
   * @throws IOException if the file cannot be written; in that case, the file keeps its previous
   *     content
   */
  void save(OperatorOverrides overrides) throws IOException {
    if (file.isPresent()) {
      Path path = file.get();
      Path temporaryFile =
          path.resolveSibling(path.getFileName() + "." + ProcessHandle.current().pid());
      Files.writeString(temporaryFile, overrides.toText());
      Files.move(temporaryFile, path, StandardCopyOption.ATOMIC_MOVE);
    }
  }
}
