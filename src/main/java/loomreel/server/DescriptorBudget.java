package loomreel.server;

/**
 * How the file descriptors that the platform grants are divided among clients, workers and jobs.
 *
 * @param granted descriptors that this process may use for HTTP, those for other purposes included
 * @param upstreamConnections connections to workers that may be open at a time
 * @param jobs jobs that may be in flight at a time
 * @param clientConnections accepted connections that may be open at a time, callbacks included
 */
record DescriptorBudget(int granted, int upstreamConnections, int jobs, int clientConnections) {
  /**
   * Descriptors that are neither a client's nor a worker's: files, the selector, the listener,
   * discovery, the other process of a hot restart and the administrators' address.
   */
  private static final int OTHER_DESCRIPTORS = 32;

  /** Connections that are budgeted even if fewer descriptors are granted. */
  private static final int MIN_CONNECTIONS = 16;

  /** The fraction for workers: a job occupies a connection to one only for a round trip. */
  private static final double UPSTREAM_FRACTION = 0.25;

  /**
   * The fraction of accepted connections that jobs may occupy; callbacks, without which no job
   * ends, need the rest.
   */
  private static final double JOB_FRACTION = 0.75;

  /**
   * Divides the descriptors of a process.
   *
   * @param descriptorLimit descriptors that the platform grants to the dispatcher
   * @param reservedForFaktory descriptors of those that HTTP cannot have
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
