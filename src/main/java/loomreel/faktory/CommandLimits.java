package loomreel.faktory;

import loomreel.faktory.payload.JobPayloadReader;

/**
 * Bounds of commands, so that reading one never takes more than a part of the heap.
 *
 * @param maxLineBytes the longest line, which is a batch (PUSHB)
 * @param maxSingleBytes the longest line of another command
 * @param maxBatchBytes the lines of all batches that are carried out at a time
 * @param maxBatchJobs jobs of a batch
 */
record CommandLimits(int maxLineBytes, int maxSingleBytes, int maxBatchBytes, int maxBatchJobs) {
  /**
   * The longest text of a job, in bytes: spaces and escapes of JSON make the text longer than the
   * job that it stands for.
   */
  static final int MAX_JOB_TEXT_BYTES = 4 * JobPayloadReader.MAX_PAYLOAD_BYTES;

  private static final double MAX_BATCH_FRACTION = 0.1;
  private static final double MAX_SINGLE_FRACTION = 1 / 64.0;

  /** Sums of two of these do not overflow. */
  private static final int MAX_BYTES = Integer.MAX_VALUE / 2;

  /** Estimate of the heap for the error of a rejected job. */
  private static final int BYTES_PER_REJECTION = 200;

  /**
   * The bounds for a heap.
   *
   * @param heapBytes the size of the heap
   * @param configuredBytes the longest command of the settings
   */
  static CommandLimits of(long heapBytes, long configuredBytes) {
    int batchBytes = toInt(heapBytes * MAX_BATCH_FRACTION);
    int singleBytes = Math.max(MAX_JOB_TEXT_BYTES, toInt(heapBytes * MAX_SINGLE_FRACTION));
    int lineBytes = (int) Math.min(configuredBytes, Math.max(batchBytes, singleBytes));
    int batchJobs = batchBytes / BYTES_PER_REJECTION;
    return new CommandLimits(
        lineBytes, Math.min(lineBytes, singleBytes), batchBytes, Math.max(1, batchJobs));
  }

  private static int toInt(double bytes) {
    return (int) Math.min(MAX_BYTES, bytes);
  }
}
