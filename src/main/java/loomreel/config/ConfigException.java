package loomreel.config;

/**
 * A configuration that the program cannot run with; the message states in one line what is wrong.
 */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * An error in a configuration.
   *
   * @param message names the file or variable, and what is wrong with it
   */
  public ConfigException(String message) {
    super(message);
  }
}
