package loomreel.core;

/**
 * Shares the ids of active calls with another process that serves as the same dispatcher, for
 * example during a hot restart. With this registry, each process can ensure that no id is active in
 * both processes. {@link CallTable} defines which calls are active.
 */
public interface CallIdRegistry {
  /** Called when a call with this id has become active in this process. */
  void acquired(String id);

  /**
   * Called when the call with this id is no longer active in this process, so that the id may be
   * used again, unless the job may have run and must not run again.
   */
  void released(String id);

  /** Returns whether a call with this id is active in the other process. */
  boolean inUseElsewhere(String id);
}
