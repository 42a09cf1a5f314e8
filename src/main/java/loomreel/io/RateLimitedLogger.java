package loomreel.io;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * A logger that writes ten lines a second at most, so that clients and workers cannot flood the
 * log. The number of suppressed lines is logged with the first line of a later second.
 *
 * <p>Callers build the complete text. Message patterns of {@link System.Logger} are not used:
 * {@link java.text.MessageFormat} would be loaded at each start, and it groups the digits of
 * numbers.
 */
public final class RateLimitedLogger {
  private static final int MAX_LINES_PER_SECOND = 10;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final Logger logger;
  private long currentSecond;

  /** Lines of the current second, suppressed ones included. */
  private int linesThisSecond;

  /** Creates a logger with that name. */
  public RateLimitedLogger(String name) {
    logger = System.getLogger(name);
  }

  /** Logs a normal event. */
  public void info(String text) {
    write(Level.INFO, text, null);
  }

  /** Logs a condition that an operator may have to act on. */
  public void warn(String text) {
    write(Level.WARNING, text, null);
  }

  /** Logs a fault of this program. */
  public void error(String text, Throwable fault) {
    write(Level.ERROR, text, fault);
  }

  private void write(Level level, String text, Throwable fault) {
    long second = System.nanoTime() / NANOS_PER_SECOND;
    if (second != currentSecond) {
      logSuppressedLines();
      currentSecond = second;
      linesThisSecond = 0;
    }
    linesThisSecond++;
    if (linesThisSecond <= MAX_LINES_PER_SECOND) {
      logger.log(level, text, fault);
    }
  }

  private void logSuppressedLines() {
    if (linesThisSecond > MAX_LINES_PER_SECOND) {
      logger.log(
          Level.WARNING, "log lines suppressed count=" + (linesThisSecond - MAX_LINES_PER_SECOND));
    }
  }
}
