package loomreel.config;

/** Thrown when the program cannot run with a configuration. The message states what is wrong. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message names the file or variable and states what is wrong with it
   */
  public ConfigException(String message) {
    super(message);
  }
}
