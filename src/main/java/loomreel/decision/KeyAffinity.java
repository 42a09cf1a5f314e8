package loomreel.decision;

/**
 * The preferred workers of one job key, and the demand of the jobs that have this key. Times are in
 * microseconds.
 */
final class KeyAffinity {
  /** The value of {@link #rankedVersion} before the first ranking. */
  private static final long NOT_RANKED = -1;

  /**
   * The demand of the jobs with this key: the mean number of slots that these jobs are expected to
   * occupy at a time. For each job, the expected work, in slots multiplied by microseconds, is
   * divided by the time constant of the sum, in microseconds, and the quotient is added to the sum.
   * Because of this division, the sum is a number of slots.
   */
  private final DecayingSum demand = new DecayingSum(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  /** The version of the worker table for which the workers were last ranked. */
  private long rankedVersion = NOT_RANKED;

  private WorkerState[] ranking;
  private WorkerState secondChoice;

  /**
   * Returns the highest-ranked workers for the key, in the order of the ranking; null before the
   * first call of {@link #rank}.
   */
  WorkerState[] ranking() {
    return ranking;
  }

  /**
   * Returns the highest-ranked worker for a second hash of the key, which is independent of the
   * first. Returns null if there are no workers or before the first call of {@link #rank}.
   */
  WorkerState secondChoice() {
    return secondChoice;
  }

  /**
   * Returns the demand of the jobs with this key at this dispatcher: the mean number of slots that
   * these jobs are expected to occupy at a time. The mean is taken with the time constant {@link
   * DecayingSum#RATE_TIME_CONSTANT_MICROS}.
   */
  double demandAt(long now) {
    return demand.valueAt(now);
  }

  /** Adds the expected work of a request with this key to the demand. */
  void recordDemand(PendingRequest request, ServiceTimeEstimator serviceTimes, long now) {
    double slotMicros = serviceTimes.expectedWork(request);
    demand.add(slotMicros / DecayingSum.RATE_TIME_CONSTANT_MICROS, now);
  }

  /**
   * Ranks the workers for the key. Does nothing if the workers have already been ranked for the
   * given version of the worker table.
   *
   * @param workers the workers that are eligible for jobs with this key
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
