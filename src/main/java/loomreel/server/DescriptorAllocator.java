package loomreel.server;

import java.util.Optional;
import loomreel.core.Dispatcher;
import loomreel.faktory.FaktoryIngress;
import loomreel.ingress.HttpIngress;
import loomreel.upstream.HttpWorkerPool;

/** Applies the {@link DescriptorBudget} of the process to the parts that open connections. */
final class DescriptorAllocator {
  private final int descriptorLimit;
  private final int reservedForFaktory;
  private final HttpWorkerPool workers;
  private final Dispatcher dispatcher;
  private final Optional<FaktoryIngress> faktory;
  private final HttpIngress http;

  /**
   * An allocator that has not allocated anything yet.
   *
   * @param descriptorLimit descriptors that the platform grants to the dispatcher
   * @param reservedForFaktory descriptors of those that HTTP cannot have
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
   * Divides the descriptors.
   *
   * @param shared whether another process serves beside this one as the same dispatcher
   */
  void allocate(boolean shared) {
    DescriptorBudget budget = DescriptorBudget.divide(descriptorLimit, reservedForFaktory, shared);
    workers.setCapacity(budget.upstreamConnections());
    dispatcher.setCapacity(budget.jobs());
    if (faktory.isPresent()) {
      // No lambda: linking it would load the class also where Faktory is off.
      faktory.get().setCapacity(budget.jobs());
    }
    http.setCapacity(budget.clientConnections(), budget.granted());
  }
}
