package loomreel.upstream;

/** Receives the result of each call to a worker: whether the worker could be reached. */
interface ReachabilityListener {
  /** A listener that ignores all notifications. */
  ReachabilityListener NONE =
      new ReachabilityListener() {
        @Override
        public void reachable() {}

        @Override
        public void unreachable() {}
      };

  /** Called when the worker has responded, with any status. */
  void reachable();

  /** Called when no connection could be established, or no response arrived in time. */
  void unreachable();
}
