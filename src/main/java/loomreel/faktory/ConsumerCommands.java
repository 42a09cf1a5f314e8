package loomreel.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.protocol.Reply;
import loomreel.faktory.scheduling.JobScheduler;
import loomreel.faktory.storage.JobPersistence;
import loomreel.faktory.worker.AttemptReports;
import loomreel.faktory.worker.FaktoryWorkerPool;
import loomreel.faktory.worker.WorkerRegistry;
import loomreel.settings.FaktorySettings;

/** The commands of workers: FETCH, ACK, FAIL and BEAT. */
final class ConsumerCommands {
  private static final String DEFAULT_QUEUE = "default";

  private final FaktoryWorkerPool workers;
  private final AttemptReports reports;
  private final FaktorySettings.Workers settings;
  private final JobScheduler scheduler;
  private final JobPersistence persistence;

  ConsumerCommands(
      FaktoryWorkerPool workers,
      AttemptReports reports,
      FaktorySettings.Workers settings,
      JobScheduler scheduler,
      JobPersistence persistence) {
    this.workers = workers;
    this.reports = reports;
    this.settings = settings;
    this.scheduler = scheduler;
    this.persistence = persistence;
  }

  /** FETCH: a job of one of the queues, at once or within the time that a FETCH waits. */
  void fetch(FaktoryConnection connection, String arguments) {
    if (!connection.isWorker()) {
      connection.reply(Reply.error("FETCH is for copy workers, whose HELLO has a wid"));
      return;
    }
    List<String> queues =
        arguments.isEmpty() ? List.of(DEFAULT_QUEUE) : List.of(arguments.split("\\s+"));
    byte[] job = connection.fetch(queues);
    if (job != null) {
      connection.sendJob(job);
    } else {
      connection.awaitJob(queues, settings.fetchTimeout().micros());
    }
  }

  /** ACK: as the protocol requires, one for an attempt that has ended is no error. */
  Reply acknowledge(FaktoryConnection connection, JsonNode ack) {
    reports.acknowledged(
        connection.worker(), ack.path("jid").asText(""), resultBytes(ack.path("result")));
    persistence.write();
    return Reply.OK;
  }

  private static byte[] resultBytes(JsonNode result) {
    if (result.isMissingNode() || result.isNull()) {
      return new byte[0];
    }
    return result.isTextual()
        ? result.asText().getBytes(StandardCharsets.UTF_8)
        : Json.toBytes(result);
  }

  /** FAIL: an error where the worker does not have the job. */
  Reply fail(FaktoryConnection connection, JsonNode fail) {
    String id = fail.path("jid").asText("");
    String reason = fail.path("errtype").asText("") + " " + fail.path("message").asText("");
    boolean isKnown = reports.failed(connection.worker(), id, Reply.truncate(reason).strip());
    persistence.write();
    return isKnown ? Reply.OK : jobNotFound(id);
  }

  /** The error of a command that names a job which is not known. */
  static Reply jobNotFound(String id) {
    return Reply.error("Job not found " + Reply.sanitize(id));
  }

  /** BEAT: the reply asks the worker to drain while this process does. */
  Reply beat(FaktoryConnection connection, JsonNode beat) {
    WorkerRegistry.Worker worker = connection.worker();
    if (worker == null || !worker.wid().equals(beat.path("wid").asText(worker.wid()))) {
      return Reply.error("unknown worker");
    }
    JsonNode state = beat.path("current_state");
    workers.heartbeat(worker, state.isTextual() ? state.asText() : null);
    if (!scheduler.isDraining()
        || settings.shutdownRequest() == FaktorySettings.ShutdownRequest.NONE) {
      return Reply.OK;
    }
    return Reply.json(
        Json.MAPPER
            .createObjectNode()
            .put("state", settings.shutdownRequest().name().toLowerCase(Locale.ROOT)));
  }
}
