package loomreel.process;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Locates the files that the processes of one dispatcher share, if there is a directory for them.
 */
public final class SharedFiles {
  private static final String PORT_SUFFIX = ".tie";
  private static final String OVERRIDES_SUFFIX = ".state";
  private static final String UNSAFE_IN_FILE_NAMES = "[^A-Za-z0-9_-]";

  private final Optional<Path> directory;
  private final String baseName;

  /**
   * Creates the locations of a dispatcher's files.
   *
   * @param directory the directory of the files, or empty if nothing can be stored
   * @param dispatcherName the name that all processes of the dispatcher have in common
   */
  public SharedFiles(Optional<Path> directory, String dispatcherName) {
    this.directory = directory;
    baseName = dispatcherName.replaceAll(UNSAFE_IN_FILE_NAMES, "_");
  }

  /**
   * Returns the file that contains the loopback port of the newest process, to which its successor
   * connects, or empty if there is no directory.
   */
  public Optional<Path> hotRestartPort() {
    return directory.map(path -> path.resolve(baseName + PORT_SUFFIX));
  }

  /**
   * Returns the file that contains the overrides of operators, or empty if there is no directory.
   */
  public Optional<Path> operatorOverrides() {
    return directory.map(path -> path.resolve(baseName + OVERRIDES_SUFFIX));
  }
}
