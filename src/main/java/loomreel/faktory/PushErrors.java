package loomreel.faktory;

import loomreel.faktory.protocol.Reply;
import loomreel.faktory.queue.PushRejection;
import loomreel.faktory.queue.QueueLimits;

/** The protocol's errors for jobs that the queue rejects. */
final class PushErrors {
  private static final String NOT_UNIQUE = "NOTUNIQUE ";

  private PushErrors() {}

  /**
   * The error for a rejection.
   *
   * @param limits the bounds of the queue that has rejected the job
   */
  static Reply.ErrorReply of(PushRejection rejection, QueueLimits limits) {
    return switch (rejection) {
      case JID_IN_USE -> new Reply.ErrorReply(NOT_UNIQUE + "jid is in use");
      case JID_ENDED -> new Reply.ErrorReply(NOT_UNIQUE + "jid has ended lately");
      case TOO_MANY_QUEUES -> Reply.error("backlog is full: " + QueueLimits.MAX_QUEUES + " queues");
      case TOO_MANY_JOBS -> Reply.error("backlog is full: " + limits.maxJobs() + " jobs");
      case TOO_MANY_BYTES -> Reply.error("backlog is full: " + limits.maxBytes() + " bytes");
      case NO_MEMORY ->
          Reply.error(
              "backlog is full: waiting jobs take "
                  + limits.heap().maxLiveBytes()
                  + " bytes of the heap");
      case DEADLINE_PASSED -> Reply.error("its own deadline has passed");
    };
  }
}
