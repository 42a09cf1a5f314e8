package loomreel.faktory.queue;

/**
 * Bounds of a {@link JobQueue}.
 *
 * @param maxJobs jobs that have not ended
 * @param maxBytes payload bytes of those, and likewise of the dead jobs
 * @param baseBackoffMicros delay before the first retry, see {@link RetryBackoff}
 * @param retentionMicros how long an ended job is known
 * @param maxRetained how many ended jobs are known
 */
public record QueueLimits(
    int maxJobs, long maxBytes, long baseBackoffMicros, long retentionMicros, int maxRetained) {
  /** Whether one more job may be added to so many that have not ended. */
  boolean admitJob(int liveJobs) {
    return liveJobs < maxJobs;
  }

  /** Whether a payload may be added to so many bytes of jobs that have not ended. */
  boolean admitPayload(long liveBytes, int payloadBytes) {
    return liveBytes + payloadBytes <= maxBytes;
  }

  /** The bounds of what is retained of ended jobs. */
  EndedJobs.Limits endedJobs() {
    return new EndedJobs.Limits(retentionMicros, maxRetained, maxBytes);
  }
}
