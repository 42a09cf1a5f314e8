package loomreel.core;

import loomreel.decision.Endpoint;

/** The logical connection to one listed worker, independent of the protocol that it uses. */
public interface Subchannel {
  /** An attempt in progress on a subchannel. */
  interface ActiveCall {
    /**
     * Cancels the request. If the request has not been sent, it is not sent at all; otherwise the
     * worker is requested to stop the job, if the protocol allows that.
     */
    void cancel();

    /**
     * Aborts the request if it is not completely written, so that the job cannot run. Does nothing
     * otherwise.
     *
     * @return whether the request was aborted
     */
    default boolean abortIfUnsent() {
      return false;
    }
  }

  /**
   * Starts an attempt. The subchannel ends the attempt from now on, with an outcome that states
   * that the job never ran only if this is certain.
   *
   * @return the call in progress, or null if the attempt has ended already
   */
  ActiveCall start(CallAttempt attempt);

  /**
   * Returns the endpoint of the worker, in the state that the pool has reported last, or will
   * report first.
   */
  Endpoint endpoint();

  /**
   * Requests the load of the worker. The result is reported by {@link Dispatcher#healthChecked}.
   */
  void checkHealth();
}
