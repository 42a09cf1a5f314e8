package loomreel.core;

/** Accepts the clients of one protocol and converts their requests to {@link Rpc}s. */
public interface Ingress {
  /** Stops accepting new work. Calls that have been accepted are still answered. */
  void beginDrain();

  /** Returns whether work that this ingress has accepted is unfinished. */
  boolean hasPendingWork();

  /**
   * Releases the resources of this ingress. This is the last call before the process exits; by then
   * no work is pending, or the shutdown deadline has passed.
   */
  default void close() {}

  /** Returns the counters of this ingress since its start, as text for the log. */
  String summary();
}
