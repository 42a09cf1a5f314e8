package loomreel.faktory.queue;

/** Why {@link JobQueue#push} does not accept a job. */
public enum PushRejection {
  /** A job of this jid has not ended. */
  JID_IN_USE,
  /** A job of this jid has ended, and its retention is not over. */
  JID_ENDED,
  /** {@link QueueLimits#MAX_QUEUES} is reached, and no job of this queue is there. */
  TOO_MANY_QUEUES,
  /** {@link QueueLimits#maxJobs()} is reached. */
  TOO_MANY_JOBS,
  /** {@link QueueLimits#maxBytes()} would be exceeded. */
  TOO_MANY_BYTES,
  /** {@link HeapLimits#maxLiveBytes()} would be exceeded. */
  NO_MEMORY,
  /** The job's own deadline has passed. */
  DEADLINE_PASSED
}
