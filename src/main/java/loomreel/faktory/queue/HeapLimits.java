package loomreel.faktory.queue;

/**
 * Bounds of the heap that jobs occupy, in bytes, by the estimates of {@link Job#heapBytes}.
 *
 * @param maxLiveBytes of the jobs that have not ended; beyond it no job is accepted
 * @param maxEndedBytes of the jobs that have ended; beyond it the oldest results are dropped, and
 *     then the oldest jids are forgotten
 * @param maxResultBytes of one result that is retained
 * @param maxRestoredBytes of the stored jobs of an earlier process that wait or are dead, which may
 *     have had a larger heap; with more, this process cannot start
 */
public record HeapLimits(
    long maxLiveBytes, long maxEndedBytes, int maxResultBytes, long maxRestoredBytes) {
  /** No bounds. */
  public static final HeapLimits NONE =
      new HeapLimits(Long.MAX_VALUE, Long.MAX_VALUE, Integer.MAX_VALUE, Long.MAX_VALUE);

  private static final double MAX_LIVE_FRACTION = 0.28;
  private static final double MAX_ENDED_FRACTION = 0.2;
  private static final double MAX_RESULT_FRACTION = 1 / 128.0;

  private static final double MAX_RESTORED_FRACTION = 0.7;

  /** The bounds for a heap of a size in bytes. */
  public static HeapLimits of(long heapBytes) {
    return new HeapLimits(
        (long) (heapBytes * MAX_LIVE_FRACTION),
        (long) (heapBytes * MAX_ENDED_FRACTION),
        (int) Math.min(Integer.MAX_VALUE, heapBytes * MAX_RESULT_FRACTION),
        (long) (heapBytes * MAX_RESTORED_FRACTION));
  }
}
