package loomreel.decision;

/** The groups of candidate workers for a request, in the order in which they are considered. */
enum CandidateRound {
  /** The two workers that the request's key hashes to. */
  HASHED,
  /**
   * A sample of the workers that follow in the ranking of the request's key, or of all eligible
   * workers if the request has no key.
   */
  FALLBACK;

  /** Returns the next round, or null after the last one. */
  CandidateRound next() {
    return this == HASHED ? FALLBACK : null;
  }
}
