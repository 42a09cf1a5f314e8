package loomreel.cli;

import java.text.MessageFormat;
import java.util.ResourceBundle;

/** A {@link System.Logger} that formats messages as {@link MessageFormat} does. */
interface FormattingLogger extends System.Logger {
  @Override
  default void log(Level level, ResourceBundle bundle, String format, Object... values) {
    boolean hasValues = values != null && values.length > 0;
    log(level, bundle, hasValues ? MessageFormat.format(format, values) : format, (Throwable) null);
  }
}
