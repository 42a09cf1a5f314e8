package loomreel.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import loomreel.faktory.payload.InvalidPayloadException;
import loomreel.faktory.payload.JobPayloadReader;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.protocol.Reply;
import loomreel.faktory.queue.JobQueue;
import loomreel.faktory.queue.JobSpec;
import loomreel.faktory.queue.PushRejection;
import loomreel.faktory.scheduling.JobScheduler;
import loomreel.faktory.storage.JobPersistence;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/** Checks jobs that clients push, and queues them. */
final class JobIntake {
  /** The error for a job that workers could not receive. */
  static final Reply.ErrorReply JOB_TOO_LONG =
      Reply.error("a job of over " + JobPayloadReader.MAX_PAYLOAD_BYTES + " bytes");

  private final EventLoop loop;
  private final JobQueue queue;
  private final JobPersistence persistence;
  private final JobPayloadReader payloads;
  private final JobScheduler scheduler;
  private final RateLimitedLogger log;

  JobIntake(
      EventLoop loop,
      JobQueue queue,
      JobPersistence persistence,
      JobPayloadReader payloads,
      JobScheduler scheduler,
      RateLimitedLogger log) {
    this.loop = loop;
    this.queue = queue;
    this.persistence = persistence;
    this.payloads = payloads;
    this.scheduler = scheduler;
    this.log = log;
  }

  /** Checks and queues a job. */
  PushResult push(JsonNode job) {
    if (scheduler.isDraining()) {
      return rejected("this server is leaving");
    }
    Optional<String> full = persistence.rejectionReason();
    if (full.isPresent()) {
      log.warn("push rejected reason=" + full.get());
      return rejected(full.get());
    }
    try {
      JobSpec spec = payloads.validate(job);
      byte[] payload = Json.toBytes(job);
      if (payload.length > JobPayloadReader.MAX_PAYLOAD_BYTES) {
        return new PushResult.Rejected(JOB_TOO_LONG, false);
      }
      return enqueue(spec, payload);
    } catch (InvalidPayloadException e) {
      return rejected(e.getMessage());
    }
  }

  private static PushResult rejected(String message) {
    return new PushResult.Rejected(Reply.error(message), false);
  }

  private PushResult enqueue(JobSpec spec, byte[] payload) {
    boolean isSynced = persistence.isSynced(spec.requestClass());
    Optional<PushRejection> rejection = queue.push(spec, payload, loop.now());
    if (rejection.isPresent()) {
      return new PushResult.Rejected(PushErrors.of(rejection.get(), queue.limits()), isSynced);
    }
    scheduler.wakeUpAt(Math.max(spec.at(), loop.now()));
    if (spec.hasDeadline()) {
      scheduler.wakeUpAt(spec.deadline());
    }
    return new PushResult.Accepted(isSynced);
  }

  /**
   * Runs a task once all that was pushed so far outlives the process, or a loss of power where
   * {@code isSynced}.
   */
  void whenDurable(boolean isSynced, Runnable then) {
    persistence.whenDurable(isSynced, then);
  }
}
