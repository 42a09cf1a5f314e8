package loomreel.decision;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Ranks workers by weighted rendezvous hashing (highest random weight). Each worker has a score
 * that is computed from its own hash and the hash of the key. The workers with the lowest scores
 * rank first. When workers join or leave, only the keys of these workers move.
 */
final class RendezvousRanking {
  /**
   * The mask that is combined with the hash of a key by exclusive or, to derive a second,
   * independent hash.
   */
  private static final long SECOND_HASH_MASK = 0x5DEECE66DL;

  private final boolean weighted;

  private record RankedWorker(WorkerState worker, double score) {}

  /**
   * Creates a ranking.
   *
   * @param weighted whether the fraction of the keys that a worker receives is proportional to its
   *     weight; must be false if weights change between endpoint lists
   */
  RendezvousRanking(boolean weighted) {
    this.weighted = weighted;
  }

  /**
   * Returns the {@code limit} highest-ranked workers for the hash of a key, best first; fewer if
   * there are not as many workers.
   */
  WorkerState[] first(int limit, long hash, WorkerState[] workers) {
    return Arrays.stream(rank(workers, hash))
        .limit(limit)
        .map(RankedWorker::worker)
        .toArray(WorkerState[]::new);
  }

  /**
   * Returns the highest-ranked worker for the second hash of a key; null if there are no workers.
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
   * Returns the score of a worker, which is exponentially distributed with the worker's weight as
   * its rate.
   */
  private double score(WorkerState worker, long hash) {
    double weight = weighted ? worker.endpoint().weight() : 1;
    return -Math.log(Hashing.toUnitInterval(hash ^ worker.hash)) / weight;
  }
}
