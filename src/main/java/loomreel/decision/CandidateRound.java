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
   * A sample of workers. If the request has a key, the sample consists of consecutive workers in
   * the ranking of the workers for the key. If the request has no key, or the key needs more
   * workers than are ranked, the sample is drawn at random from all workers that are eligible for
   * the request.
   */
  FALLBACK;

  /** Returns the next round; null if this is the last one. */
  CandidateRound next() {
    return this == HASHED ? FALLBACK : null;
  }
}
