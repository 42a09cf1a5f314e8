package loomreel.core;

import loomreel.decision.Endpoint;

/** The connection to one listed worker, whatever protocol it uses. */
public interface Subchannel {
  /** Carries an attempt until that ends. */
  interface ActiveCall {
    /**
     * Cancels the request: if it is not sent yet it is never sent; otherwise the worker is
     * requested to stop the job.
     */
    void cancel();

    /**
     * Aborts the request if it is not completely written, so that the job cannot run; otherwise
     * changes nothing.
     *
     * @return whether it was aborted
     */
    default boolean abortIfUnsent() {
      return false;
    }
  }

  /**
   * Starts an attempt. From here on the subchannel ends it. The outcome implies that nothing ran
   * only where that is proven.
   *
   * @return what carries it, or null if it has ended already
   */
  ActiveCall start(CallAttempt attempt);

  /** The worker's endpoint in the state that its pool reported last, or is to report first. */
  Endpoint endpoint();

  /** Requests the worker's load; the result goes to {@link Dispatcher#healthChecked}. */
  void checkHealth();
}
