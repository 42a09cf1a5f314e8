package loomreel.io;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * A logger that writes at most ten lines per second, so that clients and workers cannot flood the
 * log. Further lines in the same second are suppressed. Before the first line of a later second,
 * the logger writes the number of suppressed lines.
 *
 * <p>Callers build the complete message. The message patterns of {@link System.Logger} are not
 * used, because {@link java.text.MessageFormat} would have to be loaded at each start and inserts
 * grouping separators into numbers.
 */
public final class RateLimitedLogger {
  private static final int MAX_LINES_PER_SECOND = 10;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final Logger logger;
  private long currentSecond;

  /** The number of lines in the current second, including the suppressed lines. */
  private int linesThisSecond;

  /** Creates a logger that writes to the {@link System.Logger} with the given name. */
  public RateLimitedLogger(String name) {
    logger = System.getLogger(name);
  }

  /** Logs a normal event. */
  public void info(String message) {
    write(Level.INFO, message, null);
  }

  /** Logs a condition that an operator may have to act on. */
  public void warn(String message) {
    write(Level.WARNING, message, null);
  }

  /** Logs a fault of this program, with its exception. */
  public void error(String message, Throwable thrown) {
    write(Level.ERROR, message, thrown);
  }

  private void write(Level level, String message, Throwable thrown) {
    long second = System.nanoTime() / NANOS_PER_SECOND;
    if (second != currentSecond) {
      logSuppressedLines();
      currentSecond = second;
      linesThisSecond = 0;
    }
    linesThisSecond++;
    if (linesThisSecond <= MAX_LINES_PER_SECOND) {
      logger.log(level, message, thrown);
    }
  }

  private void logSuppressedLines() {
    if (linesThisSecond > MAX_LINES_PER_SECOND) {
      logger.log(
          Level.WARNING, "log lines suppressed count=" + (linesThisSecond - MAX_LINES_PER_SECOND));
    }
  }
}
