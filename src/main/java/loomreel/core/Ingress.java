package loomreel.core;

/** Accepts the clients of one protocol and converts their requests to {@link Rpc}s. */
public interface Ingress {
  /**
   * Starts to drain this ingress, because the process is shutting down. The ingress may stop
   * accepting new work. Calls that have been accepted are still answered.
   */
  void beginDrain();

  /** Returns whether any work that this ingress has accepted is unfinished. */
  boolean hasPendingWork();

  /**
   * Releases the resources of this ingress. This method is called last, before the process exits.
   * At that time no work is pending, or the shutdown deadline has passed. By default does nothing.
   */
  default void close() {}

  /**
   * Returns the current values and the counters of this ingress as text for the log. The counters
   * count from the start of the ingress.
   */
  String summary();
}
