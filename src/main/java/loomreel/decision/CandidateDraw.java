package loomreel.decision;

/**
 * From what the candidates of a request are drawn: the same ones are checked and then chosen from.
 *
 * @param workersNeeded how many workers the request's key needs; {@link #UNBOUNDED} without a key
 * @param seed seed of the candidates that are sampled
 */
record CandidateDraw(int workersNeeded, long seed) {
  /** The number of workers that a request without a key may use. */
  static final int UNBOUNDED = Integer.MAX_VALUE;

  /** How many workers a key hashes to. */
  private static final int HASHED_WORKERS = 2;

  /** Whether more workers are needed than the key hashes to. */
  boolean exceedsHashedWorkers() {
    return workersNeeded > HASHED_WORKERS;
  }

  /** The first round of candidates: only the fallback where the hashed workers do not suffice. */
  CandidateRound firstRound() {
    return exceedsHashedWorkers() ? CandidateRound.FALLBACK : CandidateRound.HASHED;
  }
}
