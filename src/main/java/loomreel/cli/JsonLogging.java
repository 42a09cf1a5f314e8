package loomreel.cli;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.ConsoleAppender;
import java.util.ResourceBundle;
import org.slf4j.Logger;

/** Creates loggers that write JSON lines to standard error, by Logback. */
final class JsonLogging {
  private static final LoggerContext CONTEXT = context();

  private JsonLogging() {}

  private static LoggerContext context() {
    LoggerContext context = new LoggerContext();
    context.setMDCAdapter(new LogbackMDCAdapter());
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithSequenceNumber(false);
    encoder.setWithContext(false);
    encoder.setWithThreadName(false);
    encoder.setWithNanoseconds(false);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(ch.qos.logback.classic.Level.INFO);
    root.addAppender(appender);
    context.start();
    return context;
  }

  /** A logger of this name. */
  static System.Logger logger(String name) {
    return new Slf4jLogger(CONTEXT.getLogger(name));
  }

  /** Forwards {@link System.Logger} to SLF4J. */
  private record Slf4jLogger(Logger delegate) implements FormattingLogger {
    @Override
    public String getName() {
      return delegate.getName();
    }

    @Override
    public boolean isLoggable(Level level) {
      return level != Level.OFF && delegate.isEnabledForLevel(slf4jLevel(level));
    }

    private static org.slf4j.event.Level slf4jLevel(Level level) {
      return switch (level) {
        case ERROR -> org.slf4j.event.Level.ERROR;
        case WARNING -> org.slf4j.event.Level.WARN;
        case INFO -> org.slf4j.event.Level.INFO;
        case DEBUG -> org.slf4j.event.Level.DEBUG;
        default -> org.slf4j.event.Level.TRACE;
      };
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String text, Throwable thrown) {
      if (isLoggable(level)) {
        delegate.atLevel(slf4jLevel(level)).setCause(thrown).log(text);
      }
    }
  }
}
