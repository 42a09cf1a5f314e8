package loomreel.server;

/**
 * The number of file descriptors that a process may use, and the maximum numbers of connections and
 * jobs that follow from it.
 *
 * @param nonFaktoryDescriptors the number of descriptors of this process that are not reserved for
 *     Faktory; some of them are used for purposes other than connections with clients and workers
 * @param upstreamConnections the maximum number of open connections that this process opens to
 *     workers, to send jobs
 * @param jobs the maximum number of accepted jobs that have not ended
 * @param clientConnections the maximum number of open connections that this process accepts; they
 *     include the connections that workers open to send callbacks
 */
record DescriptorBudget(
    int nonFaktoryDescriptors, int upstreamConnections, int jobs, int clientConnections) {
  /**
   * Number of descriptors for purposes other than connections with clients and workers: files, the
   * selector, the listening socket, discovery, the connections to other processes of the dispatcher
   * during a hot restart, and the server for operators.
   */
  private static final int OTHER_DESCRIPTORS = 32;

  /**
   * Minimum number of connections for which limits are computed, even if the process has fewer
   * descriptors.
   */
  private static final int MIN_CONNECTIONS = 16;

  /**
   * Fraction of the connections that are connections to workers. It is small, because a job
   * occupies a connection to a worker only for one round trip.
   */
  private static final double UPSTREAM_FRACTION = 0.25;

  /**
   * Fraction of the accepted connections that jobs may occupy. The other connections remain free
   * for the callbacks of workers, without which no job is completed.
   */
  private static final double JOB_FRACTION = 0.75;

  /**
   * Computes the budget of a process.
   *
   * @param descriptorLimit the number of file descriptors that the platform grants to the
   *     dispatcher
   * @param reservedForFaktory the number of these descriptors that are reserved for Faktory
   * @param shared whether another process of this dispatcher is connected, as during a hot restart;
   *     if so, this process uses half of the descriptors that are not reserved for Faktory
   */
  static DescriptorBudget divide(int descriptorLimit, int reservedForFaktory, boolean shared) {
    int nonFaktoryDescriptors = (descriptorLimit - reservedForFaktory) / (shared ? 2 : 1);
    int connections = Math.max(MIN_CONNECTIONS, nonFaktoryDescriptors - OTHER_DESCRIPTORS);
    int upstreamConnections = (int) (connections * UPSTREAM_FRACTION);
    int clientConnections = connections - upstreamConnections;
    int jobs = (int) (clientConnections * JOB_FRACTION);
    return new DescriptorBudget(
        nonFaktoryDescriptors, upstreamConnections, jobs, clientConnections);
  }
}
