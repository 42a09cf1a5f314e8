package loomreel.decision;

/** The groups of workers that are considered for a request, one after the other. */
enum CandidateRound {
  /** The two workers that the request's key hashes to. */
  HASHED,
  /** A sample of the next workers of the key's ranking, or of all where there is no key. */
  FALLBACK;

  /** The next round, or null after the last. */
  CandidateRound next() {
    return this == HASHED ? FALLBACK : null;
  }
}
