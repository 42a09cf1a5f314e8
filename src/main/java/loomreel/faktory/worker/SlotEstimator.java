package loomreel.faktory.worker;

/**
 * How many jobs a worker runs at a time: as its labels give it, else the recent maximum of waiting
 * FETCHes and running jobs together. A process whose threads each FETCH, run and FETCH again has as
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
   * @param labelledSlots the number that the worker's labels give, or 0 where it is estimated
   * @param minSlots the least estimate
   * @param windowMicros the estimate follows a worker that runs fewer jobs than before after one to
   *     two times this
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
   * @param running jobs that the worker runs now
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
