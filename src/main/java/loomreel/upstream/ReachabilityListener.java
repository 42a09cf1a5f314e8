package loomreel.upstream;

/** Is notified by each call to a worker whether the worker can be reached. */
interface ReachabilityListener {
  /** Ignores everything. */
  ReachabilityListener NONE =
      new ReachabilityListener() {
        @Override
        public void reachable() {}

        @Override
        public void unreachable() {}
      };

  /** The worker has responded, with whatever status. */
  void reachable();

  /** No connection could be established, or there was no response in time. */
  void unreachable();
}
