package loomreel.server;

/**
 * The division of the file descriptors that the platform grants among clients, workers and jobs.
 *
 * @param granted the number of descriptors that this process may use for HTTP, including those for
 *     other purposes
 * @param upstreamConnections the maximum number of open connections to workers
 * @param jobs the maximum number of jobs in flight
 * @param clientConnections the maximum number of open accepted connections, including those of
 *     callbacks
 */
record DescriptorBudget(int granted, int upstreamConnections, int jobs, int clientConnections) {
  /**
   * Number of descriptors for neither clients nor workers: files, the selector, the listening
   * socket, discovery, the other process of a hot restart, and the server for operators.
   */
  private static final int OTHER_DESCRIPTORS = 32;

  /** Minimum number of connections in a budget, even if fewer descriptors are granted. */
  private static final int MIN_CONNECTIONS = 16;

  /**
   * Fraction of the connections that is for workers. A job occupies a connection to a worker only
   * for a round trip.
   */
  private static final double UPSTREAM_FRACTION = 0.25;

  /**
   * Fraction of the accepted connections that jobs may occupy. The rest is for callbacks, without
   * which no job ends.
   */
  private static final double JOB_FRACTION = 0.75;

  /**
   * Divides the descriptors of a process.
   *
   * @param descriptorLimit the number of file descriptors that the platform grants to the
   *     dispatcher
   * @param reservedForFaktory the number of those descriptors that HTTP cannot use
   * @param shared whether two processes serve as this dispatcher, each with half of the limit
   */
  static DescriptorBudget divide(int descriptorLimit, int reservedForFaktory, boolean shared) {
    int granted = (descriptorLimit - reservedForFaktory) / (shared ? 2 : 1);
    int connections = Math.max(MIN_CONNECTIONS, granted - OTHER_DESCRIPTORS);
    int upstreamConnections = (int) (connections * UPSTREAM_FRACTION);
    int clientConnections = connections - upstreamConnections;
    int jobs = (int) (clientConnections * JOB_FRACTION);
    return new DescriptorBudget(granted, upstreamConnections, jobs, clientConnections);
  }
}
