package loomreel.net;

import java.util.Map;

/** What operators may ask of a dispatcher and tell it, on the loop's thread. */
public interface Operations {
    /** Whether it can serve. */
    boolean isReady();

    /** Names and values; a value is a number, or again names and numbers. */
    Map<String, Object> figures();
}
