package loomreel.decision;

/**
 * A group of candidate workers for a request. The groups are considered one after the other, in the
 * order of the constants.
 */
enum CandidateRound {
  /**
   * The two workers that the key of the request hashes to. Both hashes may yield the same worker.
   */
  HASHED,
  /**
   * A sample of other workers. For a request with a key, the sample consists of workers that follow
   * in the ranking of the key. If the key needs more workers than are ranked, or the request has no
   * key, the sample is drawn at random from all workers that are eligible for the request.
   */
  FALLBACK;

  /** Returns the next round; null if this is the last one. */
  CandidateRound next() {
    return this == HASHED ? FALLBACK : null;
  }
}
