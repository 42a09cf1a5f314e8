package loomreel.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Locale;
import java.util.Optional;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.protocol.Reply;
import loomreel.faktory.queue.Job;
import loomreel.faktory.scheduling.RecentAttempts;
import loomreel.faktory.worker.AttemptReports;

/** TRACK: clients read the state of a job, workers report its progress. */
final class TrackCommands {
  private static final String GET = "GET ";
  private static final String SET = "SET ";
  private static final long MICROS_PER_MILLI = 1_000;

  private final RecentAttempts jobs;
  private final AttemptReports reports;

  TrackCommands(RecentAttempts jobs, AttemptReports reports) {
    this.jobs = jobs;
    this.reports = reports;
  }

  /**
   * TRACK GET and TRACK SET.
   *
   * @throws Json.MalformedException if the progress is not JSON
   */
  Reply track(FaktoryConnection connection, String arguments) throws Json.MalformedException {
    if (arguments.startsWith(GET)) {
      return Reply.json(status(arguments.substring(GET.length()).strip()));
    }
    if (arguments.startsWith(SET)) {
      return recordProgress(connection, Json.read(arguments.substring(SET.length())));
    }
    return Reply.error("TRACK is followed by GET or SET");
  }

  private Reply recordProgress(FaktoryConnection connection, JsonNode progress) {
    String id = progress.path("jid").asText("");
    reports.progressed(connection.worker(), id);
    Optional<Job> job = jobs.findJob(id);
    if (job.isEmpty()) {
      return ConsumerCommands.jobNotFound(id);
    }
    jobs.recordProgress(
        job.get(),
        Reply.truncate(progress.path("percent").asText("")),
        Reply.truncate(progress.path("desc").asText("")));
    return Reply.OK;
  }

  private ObjectNode status(String jid) {
    ObjectNode status = Json.MAPPER.createObjectNode().put("jid", jid);
    jobs.findJob(jid)
        .ifPresentOrElse(job -> describe(job, status), () -> status.put("state", "unknown"));
    return status;
  }

  private static void describe(Job job, ObjectNode status) {
    status
        .put("state", stateName(job.state()))
        .put("percent", job.percent())
        .put("desc", job.description())
        .put("failures", job.failures())
        .put("updated_at", Instant.ofEpochMilli(job.updatedAt() / MICROS_PER_MILLI).toString());
    if (!job.reason().isEmpty()) {
      status.put("reason", job.reason());
    }
    if (job.state() == Job.State.DEAD) {
      status.put("may_have_run", job.mayHaveRun());
    }
    if (!job.evidence().isEmpty()) {
      status.put("evidence", job.evidence());
    }
    if (job.result() != null) {
      status.put("result", new String(job.result(), StandardCharsets.UTF_8));
    }
  }

  /** The name that clients read. */
  private static String stateName(Job.State state) {
    return switch (state) {
      case SCHEDULED -> "scheduled";
      case ENQUEUED -> "enqueued";
      case ACTIVE -> "working";
      case RETRY -> "retrying";
      case DONE -> "success";
      case DEAD, EXPIRED, CANCELLED -> state.name().toLowerCase(Locale.ROOT);
    };
  }
}
