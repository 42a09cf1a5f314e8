package loomreel.faktory.queue;

/**
 * Bounds of a {@link JobQueue}.
 *
 * @param maxJobs jobs that have not ended
 * @param maxBytes payload bytes of those, and likewise of the dead jobs
 * @param baseBackoffMicros delay before the first retry, see {@link RetryBackoff}
 * @param retentionMicros how long an ended job is known
 * @param maxRetained how many ended jobs are known
 * @param heap bounds of the heap that all jobs occupy
 */
public record QueueLimits(
    int maxJobs,
    long maxBytes,
    long baseBackoffMicros,
    long retentionMicros,
    int maxRetained,
    HeapLimits heap) {
  /**
   * How many queues may hold jobs that have not ended, besides those that the settings name: each
   * start of an attempt looks at all of them.
   */
  public static final int MAX_QUEUES = 1000;

  /** Creates limits without bounds of the heap. */
  public QueueLimits(
      int maxJobs, long maxBytes, long baseBackoffMicros, long retentionMicros, int maxRetained) {
    this(maxJobs, maxBytes, baseBackoffMicros, retentionMicros, maxRetained, HeapLimits.NONE);
  }

  /** Whether one more job may be added to so many that have not ended. */
  boolean admitJob(int liveJobs) {
    return liveJobs < maxJobs;
  }

  /** Whether a payload may be added to so many bytes of jobs that have not ended. */
  boolean admitPayload(long liveBytes, int payloadBytes) {
    return liveBytes + payloadBytes <= maxBytes;
  }

  /** Whether a payload may be added to jobs that occupy so much heap and have not ended. */
  boolean admitHeap(long liveHeapBytes, int payloadBytes) {
    return liveHeapBytes + Job.LIVE_BYTES + payloadBytes <= heap.maxLiveBytes();
  }

  /** How many ended jobs can be known at most. */
  public int maxKnownEndedJobs() {
    return endedJobs().maxKnown();
  }

  /** The bounds of what is retained of ended jobs. */
  EndedJobs.Limits endedJobs() {
    return new EndedJobs.Limits(retentionMicros, maxRetained, maxBytes, heap.maxEndedBytes());
  }
}
