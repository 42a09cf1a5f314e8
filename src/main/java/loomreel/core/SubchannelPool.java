package loomreel.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loomreel.decision.Endpoint;

/**
 * A {@link WorkerPool} that has one subchannel for each listed worker.
 *
 * <p>Not thread-safe: used on the event loop's thread only.
 *
 * @param <S> the type of the subchannels
 */
public abstract class SubchannelPool<S extends Subchannel> implements WorkerPool {
  protected final Dispatcher dispatcher;

  /** The subchannels by endpoint id. */
  protected final Map<String, S> subchannels = new HashMap<>();

  /**
   * Creates a pool that lists no workers.
   *
   * @param dispatcher the dispatcher to which the pool reports its endpoints
   */
  protected SubchannelPool(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
  }

  /** Informs the dispatcher that one endpoint has changed. */
  protected final void publish(Endpoint endpoint) {
    dispatcher.endpointsChanged(this, false, List.of(endpoint));
  }

  @Override
  public final Subchannel find(String id) {
    return subchannels.get(id);
  }

  @Override
  public final int size() {
    return subchannels.size();
  }

  @Override
  public final List<Endpoint> endpoints() {
    return subchannels.values().stream().map(Subchannel::endpoint).toList();
  }
}
