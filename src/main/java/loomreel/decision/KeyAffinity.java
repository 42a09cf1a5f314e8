package loomreel.decision;

/**
 * The preferred workers of one job key, and the demand of the jobs that have this key. Times are in
 * microseconds.
 */
final class KeyAffinity {
  /** The value of {@link #rankedVersion} before the first ranking. */
  private static final long NOT_RANKED = -1;

  private final DecayingSum demand = new DecayingSum(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  private long rankedVersion = NOT_RANKED;
  private WorkerState[] ranking;
  private WorkerState secondChoice;

  /**
   * Returns the highest-ranked workers for the key, best first; null before the first call of
   * {@link #rank}.
   */
  WorkerState[] ranking() {
    return ranking;
  }

  /**
   * Returns the highest-ranked worker under a second, independent hash of the key; null if there
   * are no workers or before the first call of {@link #rank}.
   */
  WorkerState secondChoice() {
    return secondChoice;
  }

  /**
   * Returns the mean number of slots that jobs with this key occupy, averaged over {@link
   * DecayingSum#RATE_TIME_CONSTANT_MICROS}.
   */
  double demandAt(long now) {
    return demand.valueAt(now);
  }

  /** Records the arrival of a request with this key. */
  void recordDemand(PendingRequest request, ServiceTimeEstimator serviceTimes, long now) {
    double slotMicros = serviceTimes.expectedWork(request);
    demand.add(slotMicros / DecayingSum.RATE_TIME_CONSTANT_MICROS, now);
  }

  /**
   * Ranks the workers for the key, unless the set of eligible workers has not changed since the
   * last ranking.
   *
   * @param currentVersion the current version of the worker table
   * @param maxRankedWorkers the maximum length of the ranking
   */
  void rank(
      String key,
      WorkerState[] workers,
      long currentVersion,
      RendezvousRanking rendezvousRanking,
      int maxRankedWorkers) {
    if (rankedVersion != currentVersion) {
      long hash = Hashing.stringHash(key);
      rankedVersion = currentVersion;
      secondChoice = rendezvousRanking.second(hash, workers);
      ranking = rendezvousRanking.first(maxRankedWorkers, hash, workers);
    }
  }
}
