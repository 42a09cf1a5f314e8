package loomreel.faktory.worker;

/**
 * How many jobs a worker takes at a time: what its labels say, else the most FETCHes that waited
 * and jobs that ran at once of late. A process whose threads each FETCH, run and FETCH again has as
 * many slots as threads.
 */
final class SlotEstimator {
  private final int labelledSlots;
  private final int minSlots;
  private final long windowMicros;

  private long windowStart;
  private int maxInWindow;
  private int maxInPreviousWindow;
  private int waitingFetches;

  /**
   * Creates an estimator.
   *
   * @param labelledSlots what the worker's labels say, or 0 where it is to be learned
   * @param minSlots the least that is learned
   * @param windowMicros a worker that takes fewer jobs than before is believed after one to two
   *     times this
   */
  SlotEstimator(int labelledSlots, int minSlots, long windowMicros) {
    this.labelledSlots = labelledSlots;
    this.minSlots = minSlots;
    this.windowMicros = windowMicros;
  }

  /** Changes the number of FETCHes that wait for a job. */
  void addWaitingFetches(int change) {
    waitingFetches += change;
  }

  /**
   * Returns the slots at a time, which must not go back.
   *
   * @param running jobs that the worker has now
   */
  int slots(int running, long now) {
    if (labelledSlots > 0) {
      return labelledSlots;
    }
    if (now - windowStart >= windowMicros) {
      boolean isNextWindow = now - windowStart < 2 * windowMicros;
      maxInPreviousWindow = isNextWindow ? maxInWindow : 0;
      maxInWindow = 0;
      windowStart = now;
    }
    maxInWindow = Math.max(maxInWindow, waitingFetches + running);
    return Math.max(Math.max(maxInWindow, maxInPreviousWindow), minSlots);
  }
}
