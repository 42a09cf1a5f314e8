package loomreel.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** A temporary directory, deleted with all that is in it when it is closed. */
public final class TemporaryDirectory implements AutoCloseable {
  private final Path path = Files.createTempDirectory("loomreel");

  /** Creates the directory. */
  public TemporaryDirectory() throws IOException {}

  /** The directory; its content belongs to the caller. */
  public Path path() {
    return path;
  }

  @Override
  public void close() throws IOException {
    try (Stream<Path> files = Files.walk(path)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
