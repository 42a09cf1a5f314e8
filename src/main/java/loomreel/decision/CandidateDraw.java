package loomreel.decision;

/**
 * The parameters from which the candidate workers of a request are derived. The same parameters
 * yield the same candidates, so that the workers that receive health checks are also the ones to
 * select from.
 *
 * @param workersNeeded the number of workers that the traffic of the request's key needs; {@link
 *     #UNBOUNDED} if the request has no key
 * @param seed the seed for the random choice of candidates
 */
record CandidateDraw(int workersNeeded, long seed) {
  /**
   * The value of {@link #workersNeeded} for a request without a key, which may be sent to any
   * worker.
   */
  static final int UNBOUNDED = Integer.MAX_VALUE;

  /** The number of workers that a key hashes to. */
  private static final int HASHED_WORKERS = 2;

  /** Returns whether the key needs more workers than it hashes to. */
  boolean exceedsHashedWorkers() {
    return workersNeeded > HASHED_WORKERS;
  }

  /**
   * Returns the first round of candidates. The hashed workers are skipped if the key needs more
   * workers than these, or if there is no key.
   */
  CandidateRound firstRound() {
    return exceedsHashedWorkers() ? CandidateRound.FALLBACK : CandidateRound.HASHED;
  }
}
