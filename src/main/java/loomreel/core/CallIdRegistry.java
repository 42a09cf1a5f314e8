package loomreel.core;

/**
 * Shares the ids of active calls with another process that serves as the same dispatcher, as during
 * a hot restart, so that an id is never active in both processes.
 */
public interface CallIdRegistry {
  /** Records that a call with this id has become active in this process. */
  void acquired(String id);

  /** Records that the call with this id has ended in this process and the id is free again. */
  void released(String id);

  /** Returns whether a call with this id is active in the other process. */
  boolean inUseElsewhere(String id);
}
