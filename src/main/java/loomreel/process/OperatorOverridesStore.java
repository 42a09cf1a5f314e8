package loomreel.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import loomreel.io.RateLimitedLogger;

/** Stores {@link OperatorOverrides} in a file for the next process of this dispatcher. */
public final class OperatorOverridesStore {
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.process.operators");
  private final Optional<Path> file;

  /**
   * A store.
   *
   * @param file empty where there is no directory for it: then nothing is stored
   */
  public OperatorOverridesStore(Optional<Path> file) {
    this.file = file;
  }

  /** As {@link #load}, but a file that cannot be read is logged and overrides nothing. */
  public OperatorOverrides loadOrNone() {
    try {
      return load();
    } catch (IOException e) {
      log.warn("operator overrides not read, none are in force reason=" + e.getMessage());
      return OperatorOverrides.NONE;
    }
  }

  /**
   * Reads what was saved last, also by another process; nothing is overridden where there is no
   * file.
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
   * Replaces the file atomically, so that no process reads a part of it.
   *
   * @throws IOException if the file cannot be written; the previous one stays then
   */
  void save(OperatorOverrides overrides) throws IOException {
    if (file.isPresent()) {
      Path path = file.get();
      Path next = path.resolveSibling(path.getFileName() + "." + ProcessHandle.current().pid());
      Files.writeString(next, overrides.toText());
      Files.move(next, path, StandardCopyOption.ATOMIC_MOVE);
    }
  }
}
