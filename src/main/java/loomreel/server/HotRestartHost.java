package loomreel.server;

import java.util.Optional;
import loomreel.core.Dispatcher;
import loomreel.ingress.HttpIngress;
import loomreel.process.HotRestartCoordinator;
import loomreel.upstream.JobStatusUpdate;

/**
 * Implements what {@link HotRestartCoordinator} needs from the components of this process during a
 * hot restart, in which two or more processes serve as one dispatcher. The body of a callback
 * contains a {@link JobStatusUpdate}.
 */
final class HotRestartHost implements HotRestartCoordinator.Host {
  private final Dispatcher dispatcher;
  private final DescriptorAllocator descriptors;
  private final HttpIngress http;

  HotRestartHost(Dispatcher dispatcher, DescriptorAllocator descriptors, HttpIngress http) {
    this.dispatcher = dispatcher;
    this.descriptors = descriptors;
    this.http = http;
  }

  @Override
  public void divideDescriptors(boolean shared) {
    descriptors.allocate(shared);
  }

  @Override
  public void acceptClients() {
    http.open();
  }

  @Override
  public boolean deliverCallback(byte[] callback) {
    Optional<JobStatusUpdate> update =
        JobStatusUpdate.parse(callback).filter(parsed -> dispatcher.isActive(parsed.callId()));
    update.ifPresent(active -> active.applyTo(dispatcher));
    return update.isPresent();
  }
}
