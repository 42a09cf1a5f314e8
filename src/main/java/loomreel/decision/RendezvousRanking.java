package loomreel.decision;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Weighted rendezvous hashing (highest random weight): each worker gets a score from its own hash
 * and the key's, and the lowest scores rank first. When workers join or leave, only the keys of
 * those workers move.
 */
final class RendezvousRanking {
  /** Derives the second, independent hash of a key from its first. */
  private static final long SECOND_HASH_MASK = 0x5DEECE66DL;

  private final boolean weighted;

  private record RankedWorker(WorkerState worker, double score) {}

  /**
   * @param weighted whether a worker's weight scales its fraction of the keys; only for weights
   *     that stay the same between endpoint lists
   */
  RendezvousRanking(boolean weighted) {
    this.weighted = weighted;
  }

  /** The first {@code limit} workers for a hash, best first. */
  WorkerState[] first(int limit, long hash, WorkerState[] workers) {
    return Arrays.stream(rank(workers, hash))
        .limit(limit)
        .map(RankedWorker::worker)
        .toArray(WorkerState[]::new);
  }

  /** The best worker under the second hash of a key, or null if there are no workers. */
  WorkerState second(long hash, WorkerState[] workers) {
    return workers.length == 0 ? null : rank(workers, hash ^ SECOND_HASH_MASK)[0].worker();
  }

  private RankedWorker[] rank(WorkerState[] workers, long hash) {
    RankedWorker[] ranked = new RankedWorker[workers.length];
    for (int i = 0; i < workers.length; i++) {
      ranked[i] = new RankedWorker(workers[i], score(workers[i], hash));
    }
    Arrays.sort(ranked, Comparator.comparingDouble(RankedWorker::score));
    return ranked;
  }

  private double score(WorkerState worker, long hash) {
    double weight = weighted ? worker.endpoint().weight() : 1;
    return -Math.log(Hashing.toUnitInterval(hash ^ worker.hash)) / weight;
  }
}
