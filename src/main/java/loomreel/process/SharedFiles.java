package loomreel.process;

import java.nio.file.Path;
import java.util.Optional;

/** The files that the processes of one dispatcher share, if there is a directory for them. */
public final class SharedFiles {
  private static final String PORT_SUFFIX = ".tie";
  private static final String OVERRIDES_SUFFIX = ".state";
  private static final String UNSAFE_IN_FILE_NAMES = "[^A-Za-z0-9_-]";

  private final Optional<Path> directory;
  private final String baseName;

  /**
   * The files of a dispatcher.
   *
   * @param directory empty where nothing can be stored
   * @param dispatcherName the name that all processes of the dispatcher have
   */
  public SharedFiles(Optional<Path> directory, String dispatcherName) {
    this.directory = directory;
    baseName = dispatcherName.replaceAll(UNSAFE_IN_FILE_NAMES, "_");
  }

  /** Holds the loopback port of the newest process, to which its successor connects. */
  public Optional<Path> hotRestartPort() {
    return directory.map(path -> path.resolve(baseName + PORT_SUFFIX));
  }

  /** Holds what operators have set. */
  public Optional<Path> operatorOverrides() {
    return directory.map(path -> path.resolve(baseName + OVERRIDES_SUFFIX));
  }
}
