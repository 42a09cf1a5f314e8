package loomreel.server;

import java.util.Optional;
import loomreel.core.Dispatcher;
import loomreel.process.HotRestartCoordinator;
import loomreel.upstream.JobStatusUpdate;

/** Applies what the other process of a hot restart changes to the parts of this process. */
final class HotRestartHost implements HotRestartCoordinator.Host {
  private final Dispatcher dispatcher;
  private final DescriptorAllocator descriptors;

  HotRestartHost(Dispatcher dispatcher, DescriptorAllocator descriptors) {
    this.dispatcher = dispatcher;
    this.descriptors = descriptors;
  }

  @Override
  public void divideDescriptors(boolean shared) {
    descriptors.allocate(shared);
  }

  @Override
  public boolean deliverCallback(byte[] callback) {
    Optional<JobStatusUpdate> update =
        JobStatusUpdate.parse(callback).filter(parsed -> dispatcher.isActive(parsed.callId()));
    update.ifPresent(active -> active.applyTo(dispatcher));
    return update.isPresent();
  }
}
