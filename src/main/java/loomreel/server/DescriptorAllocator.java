package loomreel.server;

import java.util.Optional;
import loomreel.core.Dispatcher;
import loomreel.faktory.FaktoryIngress;
import loomreel.ingress.HttpIngress;
import loomreel.upstream.HttpWorkerPool;

/**
 * Applies the {@link DescriptorBudget} of the process to the components that open connections or
 * accept jobs.
 */
final class DescriptorAllocator {
  private final int descriptorLimit;
  private final int reservedForFaktory;
  private final HttpWorkerPool workers;
  private final Dispatcher dispatcher;
  private final Optional<FaktoryIngress> faktory;
  private final HttpIngress http;

  /**
   * Creates an allocator that has not allocated anything yet.
   *
   * @param descriptorLimit the number of file descriptors that the platform grants to the
   *     dispatcher
   * @param reservedForFaktory the number of those descriptors that HTTP cannot use
   * @param faktory empty if Faktory is disabled
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
   * Divides the descriptors and sets the capacity of each component.
   *
   * @param shared whether another process of this dispatcher is connected
   */
  void allocate(boolean shared) {
    DescriptorBudget budget = DescriptorBudget.divide(descriptorLimit, reservedForFaktory, shared);
    workers.setCapacity(budget.upstreamConnections());
    dispatcher.setCapacity(budget.jobs());
    if (faktory.isPresent()) {
      // No lambda, because linking it would load FaktoryIngress even if Faktory is disabled.
      faktory.get().setCapacity(budget.jobs());
    }
    http.setCapacity(budget.clientConnections(), budget.granted());
  }
}
