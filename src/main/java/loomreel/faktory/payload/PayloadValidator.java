package loomreel.faktory.payload;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.Map;
import java.util.Set;
import loomreel.core.Rpc;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.queue.Job;
import loomreel.settings.FaktorySettings;

/**
 * Job payloads: checked when they come in, mapped to what the module is told, and written for copy
 * workers.
 */
public final class PayloadValidator {
  /** What the body of an RPC is that a Faktory client's job became. */
  public static final String JOB_CONTENT_TYPE = "application/vnd.faktory.job+json";

  /** A copy worker of any kind must be able to take it. */
  public static final int MAX_PAYLOAD_BYTES = 60 * 1024;

  private static final int DEFAULT_PRIORITY = 5;
  private static final long DEFAULT_RESERVATION_MICROS = 1_800_000_000;

  /** A payload that is no good. */
  public static final class BadPayloadException extends Exception {
    private static final long serialVersionUID = 1;

    BadPayloadException(String message) {
      super(message, null, false, false);
    }
  }

  private final FaktorySettings settings;
  private final Map<String, Integer> classes;
  private final Map<String, Integer> tenants;
  private final JsonSchema schema;

  /**
   * Loads the schema of payloads.
   *
   * @param classes positions of the request classes by name
   * @param tenants positions of the tenants by name
   */
  public PayloadValidator(
      FaktorySettings settings, Map<String, Integer> classes, Map<String, Integer> tenants) {
    this.settings = settings;
    this.classes = classes;
    this.tenants = tenants;
    schema =
        JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
            .getSchema(PayloadValidator.class.getResourceAsStream("job.schema.json"));
  }

  /** How long a copy worker may keep a job once it has fetched it, in microseconds. */
  public long reserveFor(Rpc rpc) {
    if (!JOB_CONTENT_TYPE.equals(rpc.contentType())) {
      return DEFAULT_RESERVATION_MICROS;
    }
    try {
      int seconds = Json.MAPPER.readTree(rpc.body().toArray()).path("reserve_for").asInt(0);
      return seconds == 0 ? DEFAULT_RESERVATION_MICROS : 1_000_000L * seconds;
    } catch (java.io.IOException e) {
      throw new IllegalStateException("a payload that was checked cannot be read", e);
    }
  }

  /**
   * The queue in which a copy worker looks for a job: the client's own, or the first that is of its
   * class.
   */
  public String queue(Rpc rpc, String requestClass) {
    if (JOB_CONTENT_TYPE.equals(rpc.contentType())) {
      try {
        return Json.MAPPER.readTree(rpc.body().toArray()).path("queue").asText("default");
      } catch (java.io.IOException e) {
        throw new IllegalStateException("a payload that was checked cannot be read", e);
      }
    }
    return settings.queues().entrySet().stream()
        .filter(q -> q.getValue().jobClass().equals(requestClass))
        .map(Map.Entry::getKey)
        .filter(q -> !q.equals("*"))
        .findFirst()
        .orElse("default");
  }

  /**
   * What a payload says, defaults from the settings.
   *
   * @throws BadPayloadException saying why it is not taken
   */
  public Job.Spec spec(JsonNode job) throws BadPayloadException {
    Set<ValidationMessage> faults = schema.validate(job);
    if (!faults.isEmpty()) {
      throw new BadPayloadException(faults.iterator().next().getMessage());
    }
    return known(job);
  }

  /**
   * What a payload says that was taken before, by this process or an earlier one.
   *
   * @throws BadPayloadException saying why it cannot be taken any more
   */
  public Job.Spec known(JsonNode job) throws BadPayloadException {
    String queue = job.path("queue").asText("default");
    FaktorySettings.Queue q = settings.queues().getOrDefault(queue, settings.queues().get("*"));
    if (q == null) {
      throw new BadPayloadException("no queue is called " + queue);
    }
    String type = job.path("jobtype").asText();
    FaktorySettings.JobType t = settings.jobTypes().get(type);
    JsonNode custom = job.path("custom");
    String tenant = custom.path("tenant").asText(q.tenant() == null ? "" : q.tenant());
    int priority = job.path("priority").asInt(0);
    return new Job.Spec(
        job.path("jid").asText(),
        queue,
        type,
        classes.get(t == null ? q.jobClass() : t.jobClass()),
        tenants.getOrDefault(tenant, -1),
        custom.path("key").isTextual() ? custom.path("key").asText() : null,
        custom.path("slots").asDouble(1),
        custom.path("cost_us").asDouble(Double.NaN),
        priority == 0 ? DEFAULT_PRIORITY : priority,
        job.path("retry").asInt(settings.defaultRetries()),
        time(job, "at", 0),
        time(custom, "deadline", Long.MAX_VALUE));
  }

  /** A time in microseconds of Unix time. */
  private static long time(JsonNode of, String field, long otherwise) throws BadPayloadException {
    if (!of.path(field).isTextual() || of.path(field).asText().isEmpty()) {
      return otherwise;
    }
    try {
      Instant at = OffsetDateTime.parse(of.path(field).asText()).toInstant();
      return Math.addExact(
          Math.multiplyExact(at.getEpochSecond(), 1_000_000L), at.getNano() / 1000);
    } catch (DateTimeException | ArithmeticException e) {
      throw new BadPayloadException(field + " is no time such as 2026-07-01T09:00:00Z");
    }
  }

  /**
   * The job as a copy worker gets it: a client's own payload under the id of this try, so that what
   * a copy worker says is matched to the try and not to an earlier one; an HTTP client's job as one
   * argument.
   *
   * @param left how long the attempt may take, in microseconds
   */
  public byte[] forWorker(Rpc rpc, String requestClass, long left) {
    ObjectNode job;
    try {
      if (JOB_CONTENT_TYPE.equals(rpc.contentType())) {
        job = (ObjectNode) Json.MAPPER.readTree(rpc.body().toArray());
        custom(job).put("client_jid", job.path("jid").asText());
      } else {
        job = Json.MAPPER.createObjectNode();
        String path = rpc.target().split("[?]", 2)[0];
        String rest = path.substring(Math.min(path.length(), requestClass.length() + 2));
        job.put("jobtype", rest.isEmpty() ? requestClass : rest);
        job.put("queue", queue(rpc, requestClass));
        job.putArray("args")
            .addObject()
            .put("target", rpc.target())
            .put("body", new String(rpc.body().toArray(), StandardCharsets.UTF_8));
      }
      job.put("jid", rpc.id());
      job.put("reserve_for", Math.max(1, (left + 999_999) / 1_000_000));
      job.put("retry", 0);
      custom(job).put("class", requestClass).put("budget_ms", Math.max(1, left / 1000));
      return Json.MAPPER.writeValueAsBytes(job);
    } catch (java.io.IOException e) {
      throw new IllegalStateException("a payload that was checked cannot be read", e);
    }
  }

  private static ObjectNode custom(ObjectNode job) {
    return job.path("custom") instanceof ObjectNode custom ? custom : job.putObject("custom");
  }
}
