package loomreel.cli;

/** The exit codes of the program's commands. */
final class ExitCodes {
  /** The command succeeded. */
  static final int OK = 0;

  /** The command failed while it ran. */
  static final int FAILURE = 1;

  /** The command line, a configuration or an input file cannot be used. */
  static final int USAGE = 2;

  private ExitCodes() {}
}
