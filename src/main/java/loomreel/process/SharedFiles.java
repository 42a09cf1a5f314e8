package loomreel.process;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The paths of the files that the processes of one dispatcher share. A process reads what an
 * earlier process has written. There are no files if no directory is configured.
 */
public final class SharedFiles {
  private static final String PORT_SUFFIX = ".tie";
  private static final String OVERRIDES_SUFFIX = ".state";
  private static final String UNSAFE_IN_FILE_NAMES = "[^A-Za-z0-9_-]";

  private final Optional<Path> directory;
  private final String baseName;

  /**
   * Creates the paths of a dispatcher's files.
   *
   * @param directory the directory of the files, or empty if no directory is configured
   * @param dispatcherName the name of the dispatcher, which is the same for all its processes
   */
  public SharedFiles(Optional<Path> directory, String dispatcherName) {
    this.directory = directory;
    baseName = dispatcherName.replaceAll(UNSAFE_IN_FILE_NAMES, "_");
  }

  /**
   * Returns the path of the port file, or empty if no directory is configured. The file contains
   * the loopback port of the newest process. The successor connects to this port in a hot restart.
   */
  public Optional<Path> hotRestartPort() {
    return directory.map(path -> path.resolve(baseName + PORT_SUFFIX));
  }

  /**
   * Returns the path of the file that contains the overrides of operators, or empty if no directory
   * is configured.
   */
  public Optional<Path> operatorOverrides() {
    return directory.map(path -> path.resolve(baseName + OVERRIDES_SUFFIX));
  }
}
