package loomreel.core;

/**
 * Coordinates the ids of active calls with another process that serves as the same dispatcher, so
 * that an id is never active in both.
 */
public interface CallIdRegistry {
  /** A call with this id has become active here. */
  void acquired(String id);

  /** The call with this id has ended here; the id is free again. */
  void released(String id);

  /** Whether a call with this id is active in the other process. */
  boolean inUseElsewhere(String id);
}
