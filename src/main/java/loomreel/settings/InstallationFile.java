package loomreel.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import loomreel.settings.cue.Binder;
import loomreel.settings.cue.Cue;
import loomreel.settings.cue.CueException;
import loomreel.settings.cue.Key;
import loomreel.settings.cue.Position;
import loomreel.settings.cue.Problem;
import loomreel.settings.cue.Tree;

/**
 * Reads an installation's file: unifies it with the schema, binds it to records, and validates what
 * a schema cannot express.
 */
public final class InstallationFile {
  /** The schema's definition of a file that {@code loomreel daemon} reads. */
  public static final String INSTALLATION = "#Installation";

  /** The schema's definition of a file beside the platform's own configuration. */
  public static final String FEATURES = "#Features";

  private InstallationFile() {}

  /**
   * The sections that a file beside the platform's configuration may hold.
   *
   * @param faktory null where the file has no such section
   */
  public record Features(@Key("faktory") FaktorySettings faktory) {}

  /** The schema that ships with the program. */
  public static Cue schema() {
    try {
      return Cue.resource(InstallationFile.class, "installation.cue");
    } catch (CueException e) {
      throw new IllegalStateException("invalid schema: " + e.getMessage(), e);
    }
  }

  /**
   * Reads an installation from a file.
   *
   * @throws CueException with all that is wrong with the file
   */
  public static Installation read(Path file) throws CueException {
    return installation(file.toString(), text(file));
  }

  /**
   * Reads an installation from a text.
   *
   * @param file the text's name, for messages
   * @throws CueException with all that is wrong with the text
   */
  public static Installation installation(String file, String text) throws CueException {
    Tree tree = schema().read(file, text, INSTALLATION);
    Installation installation = Binder.bind(tree, Installation.class);
    InstallationValidator validator = new InstallationValidator(tree);
    validator.checkInstallation(installation);
    validator.throwIfInvalid();
    return installation;
  }

  /**
   * Reads a file beside the platform's configuration.
   *
   * @param classes the names of the classes that the platform's configuration has
   * @param tenants the names of the tenants that the platform's configuration has
   * @throws CueException with all that is wrong with the file
   */
  public static Features features(Path file, Set<String> classes, Set<String> tenants)
      throws CueException {
    Tree tree = schema().read(file.toString(), text(file), FEATURES);
    Features features = Binder.bind(tree, Features.class);
    InstallationValidator validator = new InstallationValidator(tree);
    if (features.faktory() != null) {
      validator.checkFaktory(features.faktory(), classes, tenants);
    }
    validator.throwIfInvalid();
    return features;
  }

  private static String text(Path file) throws CueException {
    try {
      return Files.readString(file);
    } catch (NoSuchFileException e) {
      throw unreadable(file, "there is no such file");
    } catch (IOException e) {
      throw unreadable(file, e.toString());
    }
  }

  private static CueException unreadable(Path file, String reason) {
    Position start = new Position(file.toString(), 1, 1);
    return new CueException(List.of(Problem.conflict(start, "", "cannot be read: " + reason)));
  }
}
