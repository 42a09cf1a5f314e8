package loomreel.faktory;

import loomreel.faktory.protocol.Reply;

/** The result of a push. */
sealed interface PushResult {
  /** Whether a reply must wait until what was recorded of the job's class survives a power loss. */
  boolean isSynced();

  /** The job is queued. It may be acknowledged once it is durable. */
  record Accepted(boolean isSynced) implements PushResult {}

  /**
   * The job is rejected.
   *
   * @param isSynced a batch waits for the disk also where a job of it is a duplicate, whose first
   *     push may not be durable yet
   */
  record Rejected(Reply.ErrorReply error, boolean isSynced) implements PushResult {}
}
