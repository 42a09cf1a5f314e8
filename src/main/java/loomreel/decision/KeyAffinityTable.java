package loomreel.decision;

import java.util.LinkedHashMap;

/** A cache of the most recently used keys, each with its ranking of the workers. */
final class KeyAffinityTable {
  /** How many keys are cached; the least recently used is evicted. */
  private static final int MAX_KEYS = 4096;

  /** How many places of a key's ranking are cached. */
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

  /** The affinity of a request's key, ranked by the current list. */
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
