package loomreel.decision;

/**
 * What the load reports and samples of one worker have shown. A load is a fraction of the worker's
 * slots; it is above 1 where jobs are queued. Times are microseconds.
 */
final class WorkerLoadHistory {
  private static final double SLOTS_WEIGHT = 0.2;
  private static final double MIN_SAMPLE_WEIGHT = 0.1;

  /** A sample's weight for its age approaches 1 with half of the time constant of rates. */
  private static final double AGE_WEIGHT_RATE_FACTOR = 2;

  private double slots;
  private double lastLoad;
  private double meanLoad;
  private long sampledAt;
  private int samples;

  /** Forgets the samples; slots and loads stay as the prior of the next ones. */
  void reset() {
    sampledAt = Timestamp.NEVER;
    samples = 0;
  }

  /** Whether the slots are known. */
  boolean hasSlots() {
    return slots > 0;
  }

  /** The slots as learned from load reports; 0 while unknown. */
  double slots() {
    return slots;
  }

  /** The load of the last sample. */
  double lastLoad() {
    return lastLoad;
  }

  /** The mean load over the samples so far. */
  double meanLoad() {
    return meanLoad;
  }

  /** When the last sample was taken, or {@link Timestamp#NEVER}. */
  long sampledAt() {
    return sampledAt;
  }

  /**
   * Learns the slots from a report that has no count of jobs.
   *
   * @param freeSlots the free slots, which are a lower bound
   */
  void learnMinimumSlots(double freeSlots) {
    slots = Math.max(Math.max(1, freeSlots), slots);
  }

  /** Learns the slots from a report that allows to compute them. */
  void learnSlots(double reportedSlots) {
    boolean isFirst = slots == 0;
    slots = isFirst ? reportedSlots : slots + SLOTS_WEIGHT * (reportedSlots - slots);
  }

  /** Counts the mean load of all workers as the first sample, if there is none yet. */
  void startFrom(double fleetMeanLoad, long now) {
    if (sampledAt == Timestamp.NEVER) {
      meanLoad = fleetMeanLoad;
      sampledAt = now;
      samples = 1;
    }
  }

  /** Adds a sample of the load. */
  void addSample(double load, long now) {
    samples++;
    double weight = sampleWeight(now);
    lastLoad = load;
    meanLoad += weight * (load - meanLoad);
    sampledAt = now;
  }

  /** The first samples count equally, so that a peak in one of them does not set the mean. */
  private double sampleWeight(long now) {
    double ageWeight =
        1
            - Math.exp(
                (sampledAt - now)
                    / DecayingSum.RATE_TIME_CONSTANT_MICROS
                    * AGE_WEIGHT_RATE_FACTOR);
    return Math.max(1.0 / samples, Math.max(MIN_SAMPLE_WEIGHT, ageWeight));
  }
}
