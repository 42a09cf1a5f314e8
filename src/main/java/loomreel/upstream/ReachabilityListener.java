package loomreel.upstream;

/**
 * Receives the results of calls to one worker: whether the worker has responded or counts as
 * unreachable. The end of each reachability check is reported, whatever its outcome. Of other
 * calls, those that end with the outcome {@link loomreel.decision.AttemptOutcome#RESET}, and those
 * that cancel a job, are not reported.
 */
interface ReachabilityListener {
  /** A listener that does nothing. */
  ReachabilityListener NONE =
      new ReachabilityListener() {
        @Override
        public void reachable() {}

        @Override
        public void unreachable() {}
      };

  /** Called when the worker has responded, with any status. */
  void reachable();

  /**
   * Called when a call has failed without a complete response. There are three cases:
   *
   * <ul>
   *   <li>The request was not completely written. Either no connection could be opened, for example
   *       because no file descriptor was available, or the connection broke or the write deadline
   *       passed before the last byte was written.
   *   <li>The request was completely written, but no complete response arrived in time.
   *   <li>The call was a reachability check, and its connection broke or its response was
   *       malformed.
   * </ul>
   *
   * <p>A job call that fails after the worker has accepted the job is not reported.
   */
  void unreachable();
}
