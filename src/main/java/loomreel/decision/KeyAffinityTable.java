package loomreel.decision;

import java.util.LinkedHashMap;

/**
 * A cache of the affinities of the most recently used job keys. An affinity contains the ranking of
 * the workers for a key and the demand of its jobs.
 */
final class KeyAffinityTable {
  /**
   * The maximum number of cached affinities. If a new affinity exceeds this number, the least
   * recently used affinity is evicted.
   */
  private static final int MAX_KEYS = 4096;

  /** The maximum number of workers in the cached ranking of a key. */
  static final int MAX_RANKED_WORKERS = 64;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final LinkedHashMap<String, KeyAffinity> affinitiesByCacheKey =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private final WorkerTable workers;
  private final RendezvousRanking ranking;

  KeyAffinityTable(WorkerTable workers, RendezvousRanking ranking) {
    this.workers = workers;
    this.ranking = ranking;
  }

  /**
   * Returns the affinity of a request's key, and creates it if it is not cached. The ranking of the
   * returned affinity is updated to the workers that are eligible for the request now. Jobs with
   * the same key have separate affinities if they need different kinds of workers or belong to
   * different queues.
   */
  KeyAffinity get(PendingRequest request) {
    String queue = request.arrival.queue() == null ? "" : '/' + request.arrival.queue();
    String key = request.arrival.key();
    String cacheKey = key + '/' + request.requestClass.workerKind() + queue;
    KeyAffinity affinity =
        affinitiesByCacheKey.computeIfAbsent(cacheKey, absent -> new KeyAffinity());
    if (affinitiesByCacheKey.size() > MAX_KEYS) {
      affinitiesByCacheKey.remove(affinitiesByCacheKey.keySet().iterator().next());
    }
    affinity.rank(key, workers.pool(request), workers.version(), ranking, MAX_RANKED_WORKERS);
    return affinity;
  }
}
