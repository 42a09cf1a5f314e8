package loomreel.decision;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Ranks workers by weighted rendezvous hashing, which is also known as highest random weight. Each
 * worker has a score that is computed from its own hash and the hash of the key. The score is the
 * reciprocal of the random weight of the algorithm, so the workers with the lowest scores rank
 * first. When workers join or leave, only the keys that prefer these workers move.
 */
final class RendezvousRanking {
  /**
   * The mask from which the second hash of a key is derived. The second hash is the exclusive or of
   * the hash of the key and this mask, and is independent of the first hash.
   */
  private static final long SECOND_HASH_MASK = 0x5DEECE66DL;

  private final boolean weighted;

  private record RankedWorker(WorkerState worker, double score) {}

  /**
   * Creates a ranking.
   *
   * @param weighted true to give each worker a fraction of the keys that is proportional to its
   *     weight, false to ignore weights; must be false if weights change between endpoint lists
   */
  RendezvousRanking(boolean weighted) {
    this.weighted = weighted;
  }

  /**
   * Returns the {@code limit} highest-ranked workers for a key, in the order of the ranking. If
   * there are fewer workers, returns all of them.
   *
   * @param hash the hash of the key
   */
  WorkerState[] first(int limit, long hash, WorkerState[] workers) {
    return Arrays.stream(rank(workers, hash))
        .limit(limit)
        .map(RankedWorker::worker)
        .toArray(WorkerState[]::new);
  }

  /**
   * Returns the highest-ranked worker for the second hash of a key; null if there are no workers.
   *
   * @param hash the first hash of the key
   */
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

  /**
   * Returns the score of a worker. Over all keys, the score is exponentially distributed. The rate
   * of the distribution is the worker's weight, or 1 if weights are ignored.
   */
  private double score(WorkerState worker, long hash) {
    double weight = weighted ? worker.endpoint().weight() : 1;
    return -Math.log(Hashing.toUnitInterval(hash ^ worker.hash)) / weight;
  }
}
