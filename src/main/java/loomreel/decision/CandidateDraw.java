package loomreel.decision;

/**
 * The parameters from which the candidate workers of a request are derived. The candidates are
 * derived more than once: to send health checks, and to select the worker. The same parameters
 * yield the same candidates while the pool of eligible workers stays the same. The worker is
 * therefore selected from the same candidates that were considered for health checks.
 *
 * @param workersNeeded the number of workers over which the jobs of the request's key should be
 *     spread; {@link #UNBOUNDED} if the request has no key or no worker is eligible
 * @param seed the seed for the random choice of candidates
 */
record CandidateDraw(int workersNeeded, long seed) {
  /**
   * The value of {@link #workersNeeded} if the key of the request does not limit the candidates.
   * The request may then be sent to any eligible worker.
   */
  static final int UNBOUNDED = Integer.MAX_VALUE;

  /** The number of workers that a key hashes to. */
  private static final int HASHED_WORKERS = 2;

  /**
   * Returns whether the jobs of the key should be spread over more workers than the key hashes to.
   */
  boolean exceedsHashedWorkers() {
    return workersNeeded > HASHED_WORKERS;
  }

  /**
   * Returns the first round of candidates. The round of the hashed workers is skipped if the jobs
   * of the key should be spread over more workers than the key hashes to, or if the request has no
   * key.
   */
  CandidateRound firstRound() {
    return exceedsHashedWorkers() ? CandidateRound.FALLBACK : CandidateRound.HASHED;
  }
}
