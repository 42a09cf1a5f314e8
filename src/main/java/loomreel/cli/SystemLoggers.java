package loomreel.cli;

import java.io.PrintStream;
import java.time.Instant;
import java.util.ResourceBundle;
import java.util.function.Function;

/**
 * Provides the loggers of this process, by default as plain lines on standard error. The JDK's own
 * provider (java.util.logging) stops writing as soon as a shutdown begins, when the graceful
 * shutdown still has to be logged.
 */
public final class SystemLoggers extends System.LoggerFinder {
  /** Creates loggers by name. */
  private static volatile Function<String, System.Logger> factory = StderrLogger::new;

  /** Called by the JDK's service loader. */
  public SystemLoggers() {}

  /** Sets how loggers are created from now on; existing loggers are not affected. */
  static void createLoggersWith(Function<String, System.Logger> next) {
    factory = next;
  }

  @Override
  public System.Logger getLogger(String name, Module module) {
    return factory.apply(name);
  }

  private record StderrLogger(String name) implements FormattingLogger {
    @Override
    public String getName() {
      return name;
    }

    @Override
    public boolean isLoggable(Level level) {
      return level.compareTo(Level.INFO) >= 0 && level != Level.OFF;
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String text, Throwable thrown) {
      if (isLoggable(level)) {
        PrintStream err = System.err;
        synchronized (err) {
          err.println(Instant.now() + " " + level + " " + name + ": " + text);
          if (thrown != null) {
            thrown.printStackTrace(err);
          }
        }
      }
    }
  }
}
