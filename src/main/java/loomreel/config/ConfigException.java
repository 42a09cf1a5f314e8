package loomreel.config;

/** Thrown when a configuration is missing, unreadable or invalid. The message states the reason. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message the name of the file or environment variable, and what is wrong with it
   */
  public ConfigException(String message) {
    super(message);
  }
}
