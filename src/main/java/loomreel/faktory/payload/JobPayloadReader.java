package loomreel.faktory.payload;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.Map;
import java.util.Set;
import loomreel.faktory.queue.JobSpec;
import loomreel.settings.FaktorySettings;

/**
 * Reads the payloads of jobs that clients push, and completes them with defaults of the settings.
 * Safe for use by several threads.
 */
public final class JobPayloadReader {
  /** Content type of an RPC whose body is the payload of a Faktory client's job. */
  public static final String JOB_CONTENT_TYPE = "application/vnd.faktory.job+json";

  /** Workers of every protocol must be able to receive a payload. */
  public static final int MAX_PAYLOAD_BYTES = 60 * 1024;

  private static final String SCHEMA = "job.schema.json";
  private static final int DEFAULT_PRIORITY = 5;
  private static final int NO_TENANT = -1;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long NANOS_PER_MICRO = 1_000;

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
  public JobPayloadReader(
      FaktorySettings settings, Map<String, Integer> classes, Map<String, Integer> tenants) {
    this.settings = settings;
    this.classes = classes;
    this.tenants = tenants;
    schema =
        JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
            .getSchema(JobPayloadReader.class.getResourceAsStream(SCHEMA));
  }

  /**
   * Checks a payload against the schema, and reads it.
   *
   * @throws InvalidPayloadException if it does not match the schema, or {@link #read} rejects it
   */
  public JobSpec validate(JsonNode job) throws InvalidPayloadException {
    Set<ValidationMessage> errors = schema.validate(job);
    if (!errors.isEmpty()) {
      throw new InvalidPayloadException(errors.iterator().next().getMessage());
    }
    return read(job);
  }

  /**
   * Reads a payload that was checked before, by this process or an earlier one.
   *
   * @throws InvalidPayloadException if these settings have no such queue, or a time is malformed
   */
  public JobSpec read(JsonNode job) throws InvalidPayloadException {
    // Many jobs have the same queue and type. Ended jobs are retained with both.
    String queueName = job.path(PayloadFields.QUEUE).asText(PayloadFields.DEFAULT_QUEUE).intern();
    FaktorySettings.Queue queue = queue(queueName);
    String type = job.path(PayloadFields.JOB_TYPE).asText().intern();
    JsonNode custom = job.path(PayloadFields.CUSTOM);
    return new JobSpec(
        job.path(PayloadFields.JID).asText(),
        queueName,
        type,
        classes.get(className(queue, type)),
        tenant(custom, queue),
        textOrNull(custom.path(PayloadFields.KEY)),
        custom.path(PayloadFields.SLOTS).asDouble(1),
        custom.path(PayloadFields.COST_MICROS).asDouble(Double.NaN),
        priority(job),
        job.path(PayloadFields.RETRY).asInt(settings.defaultRetries()),
        time(job, PayloadFields.AT, 0),
        time(custom, PayloadFields.DEADLINE, Long.MAX_VALUE));
  }

  private FaktorySettings.Queue queue(String name) throws InvalidPayloadException {
    Map<String, FaktorySettings.Queue> queues = settings.queues();
    FaktorySettings.Queue queue = queues.getOrDefault(name, queues.get(PayloadFields.ANY_QUEUE));
    if (queue == null) {
      throw new InvalidPayloadException("no queue is called " + name);
    }
    return queue;
  }

  private String className(FaktorySettings.Queue queue, String type) {
    FaktorySettings.JobType jobType = settings.jobTypes().get(type);
    return jobType == null ? queue.jobClass() : jobType.jobClass();
  }

  private int tenant(JsonNode custom, FaktorySettings.Queue queue) {
    String queueTenant = queue.tenant() == null ? "" : queue.tenant();
    return tenants.getOrDefault(custom.path(PayloadFields.TENANT).asText(queueTenant), NO_TENANT);
  }

  private static String textOrNull(JsonNode node) {
    return node.isTextual() ? node.asText() : null;
  }

  private static int priority(JsonNode job) {
    int priority = job.path(PayloadFields.PRIORITY).asInt(0);
    return priority == 0 ? DEFAULT_PRIORITY : priority;
  }

  /** The time in a field, in microseconds of Unix time. */
  private static long time(JsonNode node, String field, long defaultMicros)
      throws InvalidPayloadException {
    JsonNode time = node.path(field);
    if (!time.isTextual() || time.asText().isEmpty()) {
      return defaultMicros;
    }
    try {
      Instant instant = OffsetDateTime.parse(time.asText()).toInstant();
      return Math.addExact(
          Math.multiplyExact(instant.getEpochSecond(), MICROS_PER_SECOND),
          instant.getNano() / NANOS_PER_MICRO);
    } catch (DateTimeException | ArithmeticException e) {
      throw new InvalidPayloadException(field + " is no time such as 2026-07-01T09:00:00Z");
    }
  }
}
