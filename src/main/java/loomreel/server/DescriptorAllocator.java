package loomreel.server;

import java.util.Optional;
import loomreel.core.Dispatcher;
import loomreel.faktory.FaktoryIngress;
import loomreel.ingress.HttpIngress;
import loomreel.upstream.HttpWorkerPool;

/**
 * Limits the connections and jobs of each component, so that the process stays within its {@link
 * DescriptorBudget}.
 */
final class DescriptorAllocator {
  private final int descriptorLimit;
  private final int reservedForFaktory;
  private final HttpWorkerPool workers;
  private final Dispatcher dispatcher;
  private final Optional<FaktoryIngress> faktory;
  private final HttpIngress http;

  /**
   * Creates an allocator. It sets no limits before the first call of {@link #allocate}.
   *
   * @param descriptorLimit the number of file descriptors that the platform grants to the
   *     dispatcher; all processes of the dispatcher share them
   * @param reservedForFaktory the number of these descriptors that are reserved for Faktory
   *     connections
   * @param faktory the Faktory ingress, or empty if Faktory is disabled
   */
  DescriptorAllocator(
      int descriptorLimit,
      int reservedForFaktory,
      HttpWorkerPool workers,
      Dispatcher dispatcher,
      Optional<FaktoryIngress> faktory,
      HttpIngress http) {
    this.descriptorLimit = descriptorLimit;
    this.reservedForFaktory = reservedForFaktory;
    this.workers = workers;
    this.dispatcher = dispatcher;
    this.faktory = faktory;
    this.http = http;
  }

  /**
   * Computes the descriptor budget and sets the maximum number of connections or jobs of each
   * component.
   *
   * @param shared whether another process of this dispatcher is connected, as during a hot restart;
   *     if so, this process uses half of the descriptors
   */
  void allocate(boolean shared) {
    DescriptorBudget budget = DescriptorBudget.divide(descriptorLimit, reservedForFaktory, shared);
    workers.setCapacity(budget.upstreamConnections());
    dispatcher.setCapacity(budget.jobs());
    if (faktory.isPresent()) {
      // Optional.ifPresent is not used here. It would take a lambda, and the JVM would load the
      // class FaktoryIngress to link the lambda, even if Faktory is disabled.
      faktory.get().setCapacity(budget.jobs());
    }
    http.setCapacity(budget.clientConnections(), budget.nonFaktoryDescriptors());
  }
}
