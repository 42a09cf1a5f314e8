package loomreel.decision;

/**
 * The loads and the slots of one worker, as observed from its load reports and other samples. A
 * load is a fraction of the worker's slots. It exceeds 1 if jobs are queued. Times are in
 * microseconds.
 */
final class WorkerLoadHistory {
  /** The weight of a new report in the number of slots. */
  private static final double SLOTS_WEIGHT = 0.2;

  /** The minimum weight of a new sample in the mean load. */
  private static final double MIN_SAMPLE_WEIGHT = 0.1;

  /**
   * The weight of a new sample approaches 1 with the time since the previous one. Its time constant
   * is {@link DecayingSum#RATE_TIME_CONSTANT_MICROS} divided by this factor.
   */
  private static final double AGE_WEIGHT_RATE_FACTOR = 2;

  private double slots;
  private double lastLoad;
  private double meanLoad;
  private long sampledAt;
  private int samples;

  /**
   * Resets the history because the worker has restarted. The slots and loads stay as they are and
   * serve as the prior of later samples.
   */
  void reset() {
    sampledAt = Timestamp.NEVER;
    samples = 0;
  }

  /** Returns whether the number of slots is known. */
  boolean hasSlots() {
    return slots > 0;
  }

  /** Returns the number of slots, as estimated from load reports; 0 if it is not known. */
  double slots() {
    return slots;
  }

  /** Returns the load of the last sample. */
  double lastLoad() {
    return lastLoad;
  }

  /** Returns the mean load of the samples, in which recent samples have more weight. */
  double meanLoad() {
    return meanLoad;
  }

  /** Returns the time of the last sample, or {@link Timestamp#NEVER}. */
  long sampledAt() {
    return sampledAt;
  }

  /**
   * Updates the number of slots from a report that has no number of active jobs.
   *
   * @param freeSlots the number of free slots, which is a lower bound of the number of slots
   */
  void learnMinimumSlots(double freeSlots) {
    slots = Math.max(Math.max(1, freeSlots), slots);
  }

  /**
   * Updates the number of slots from a report from which it can be computed.
   *
   * @param reportedSlots the computed number of slots
   */
  void learnSlots(double reportedSlots) {
    boolean isFirst = slots == 0;
    slots = isFirst ? reportedSlots : slots + SLOTS_WEIGHT * (reportedSlots - slots);
  }

  /**
   * Records the mean load of all workers as the first sample, if there is no sample since the last
   * reset.
   */
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

  /**
   * Returns the weight of a new sample. The first samples have equal weights, so that a peak in one
   * of them does not determine the mean.
   */
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
