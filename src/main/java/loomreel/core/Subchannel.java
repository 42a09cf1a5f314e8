package loomreel.core;

import loomreel.decision.Endpoint;

/**
 * The logical connection to one listed worker. This interface is independent of the protocol by
 * which the worker is called.
 */
public interface Subchannel {
  /** An attempt in progress on a subchannel. */
  interface ActiveCall {
    /**
     * Cancels the attempt. If its request has not been sent, the request is not sent at all. If the
     * worker has accepted the job, the worker is requested to stop the job, provided that the
     * protocol allows such a request.
     */
    void cancel();

    /**
     * Aborts the request if it has not been completely written and can still be withdrawn, so that
     * the job cannot run. Otherwise returns false without any effect. The default implementation
     * always returns false without any effect.
     *
     * @return whether the request was aborted
     */
    default boolean abortIfUnsent() {
      return false;
    }
  }

  /**
   * Starts an attempt. From now on, the subchannel may end the attempt. The subchannel may use an
   * outcome for which {@link loomreel.decision.AttemptOutcome#neverRan} returns true only if it is
   * certain that the job has not run.
   *
   * @return the attempt in progress; may be null if the attempt has already ended
   */
  ActiveCall start(CallAttempt attempt);

  /**
   * Returns the current endpoint of the worker. The pool has reported this endpoint to the
   * dispatcher or is about to report it.
   */
  Endpoint endpoint();

  /**
   * Requests the load of the worker. The result is reported to {@link Dispatcher#healthChecked}.
   */
  void checkHealth();
}
