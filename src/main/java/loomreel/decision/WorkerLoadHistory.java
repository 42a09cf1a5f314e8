package loomreel.decision;

/**
 * The observed loads of one worker, and the number of its slots as estimated from its load reports.
 * A load is a fraction of the worker's slots. It exceeds 1 if jobs are queued. Each sample of the
 * load comes from a load report, or from the start or the outcome of an attempt. Times are in
 * microseconds.
 */
final class WorkerLoadHistory {
  /** The weight of a new report in the estimated number of slots. */
  private static final double SLOTS_WEIGHT = 0.2;

  /** The minimum weight of a new sample in the mean load. */
  private static final double MIN_SAMPLE_WEIGHT = 0.1;

  /**
   * The factor that determines how fast the weight of a new sample in the mean load approaches 1 as
   * the time since the previous sample increases. The weight is at least {@code 1 - exp(-t f / T)},
   * where {@code t} is this time in microseconds, {@code f} is this factor, and {@code T} is {@link
   * DecayingSum#RATE_TIME_CONSTANT_MICROS}.
   */
  private static final double AGE_WEIGHT_RATE_FACTOR = 2;

  private double slots;
  private double lastLoad;
  private double meanLoad;
  private long sampledAt;
  private int samples;

  /**
   * Discards the samples, because the worker has restarted or may have restarted. The number of
   * slots, the last load and the mean load keep their values until later reports or samples change
   * them.
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

  /** Returns the load of the last sample; 0 if there has been no sample. */
  double lastLoad() {
    return lastLoad;
  }

  /** Returns the weighted mean of the load samples. Recent samples have more weight. */
  double meanLoad() {
    return meanLoad;
  }

  /**
   * Returns the time of the last sample; {@link Timestamp#NEVER} if there is none since the last
   * call of {@link #reset}.
   */
  long sampledAt() {
    return sampledAt;
  }

  /**
   * Updates the number of slots from a report that contains no number of active jobs. The number of
   * free slots is a lower bound of the number of slots. The number of slots is also at least 1.
   *
   * @param freeSlots the reported number of free slots
   */
  void learnMinimumSlots(double freeSlots) {
    slots = Math.max(Math.max(1, freeSlots), slots);
  }

  /**
   * Updates the number of slots from a report that contains a number of active jobs.
   *
   * @param reportedSlots the number of slots that was computed from the report
   */
  void learnSlots(double reportedSlots) {
    boolean isFirst = slots == 0;
    slots = isFirst ? reportedSlots : slots + SLOTS_WEIGHT * (reportedSlots - slots);
  }

  /**
   * Sets the mean load to the mean load of all workers and counts it as the first sample. Does
   * nothing if there is a sample since the last reset.
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
   * Returns the weight of a new sample in the mean load. The weight of the n-th sample is at least
   * 1/n, so that the first samples have equal weights and a peak in one of them does not determine
   * the mean. The weight is also at least {@link #MIN_SAMPLE_WEIGHT}. It is higher if the previous
   * sample is old.
   */
  private double sampleWeight(long now) {
    double ageWeight =
        1
            - Math.exp(
                (sampledAt - now) / DecayingSum.RATE_TIME_CONSTANT_MICROS * AGE_WEIGHT_RATE_FACTOR);
    return Math.max(1.0 / samples, Math.max(MIN_SAMPLE_WEIGHT, ageWeight));
  }
}
