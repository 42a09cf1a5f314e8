package loomreel.upstream;

/**
 * Receives the results of calls to one worker: whether the worker could be reached. Calls that end
 * with a reset, and calls that cancel a job, are not reported to the listener.
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
   * Called when a call has failed because no connection could be established or no response arrived
   * in time.
   */
  void unreachable();
}
