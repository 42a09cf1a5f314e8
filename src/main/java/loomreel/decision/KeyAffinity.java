package loomreel.decision;

/** A job key's preferred workers, and the demand for it. */
final class KeyAffinity {
  private static final long NOT_RANKED = -1;

  private final DecayingSum demand = new DecayingSum(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  private long rankedVersion = NOT_RANKED;
  private WorkerState[] ranking;
  private WorkerState secondChoice;

  /** The first workers of the key's ranking, best first; null before {@link #rank}. */
  WorkerState[] ranking() {
    return ranking;
  }

  /** The best worker under a second, independent hash; null if there are no workers. */
  WorkerState secondChoice() {
    return secondChoice;
  }

  /** Slots that jobs with this key have taken on average, over the time constant of rates. */
  double demandAt(long now) {
    return demand.valueAt(now);
  }

  /** A request with this key has arrived. */
  void recordDemand(PendingRequest request, ServiceTimeEstimator serviceTimes, long now) {
    double slotMicros = serviceTimes.expectedWork(request);
    demand.add(slotMicros / DecayingSum.RATE_TIME_CONSTANT_MICROS, now);
  }

  /** Ranks the workers for this key, unless that was done since the list last changed. */
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
