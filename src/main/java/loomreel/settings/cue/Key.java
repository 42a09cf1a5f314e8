package loomreel.settings.cue;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The name that a record component or an enum constant has in a settings file. Each component of a
 * record and each enum constant that {@link Binder} binds needs one.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.RECORD_COMPONENT, ElementType.FIELD})
public @interface Key {
  /** The key of a component, or the word for a constant. */
  String value();
}
