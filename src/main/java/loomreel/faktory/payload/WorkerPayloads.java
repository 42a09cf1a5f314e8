package loomreel.faktory.payload;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import loomreel.core.Rpc;
import loomreel.faktory.protocol.Json;
import loomreel.settings.FaktorySettings;

/**
 * The payloads that Faktory workers fetch. An RPC of a Faktory client has the client's payload as
 * its body; one of an HTTP client becomes a job with the request as its one argument.
 */
public final class WorkerPayloads {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long DEFAULT_RESERVATION_MICROS = 1_800 * MICROS_PER_SECOND;

  private final Map<String, FaktorySettings.Queue> queues;

  /**
   * Creates an encoder.
   *
   * @param queues of the settings, by name
   */
  public WorkerPayloads(Map<String, FaktorySettings.Queue> queues) {
    this.queues = queues;
  }

  /** The duration for which a fetched job is reserved for its worker, in microseconds. */
  public long reservationMicros(Rpc rpc) {
    if (!isClientJob(rpc)) {
      return DEFAULT_RESERVATION_MICROS;
    }
    int seconds = clientJob(rpc).path(PayloadFields.RESERVE_FOR).asInt(0);
    return seconds == 0 ? DEFAULT_RESERVATION_MICROS : MICROS_PER_SECOND * seconds;
  }

  /**
   * The queue from which workers fetch a job: the client's own, or the first of its class.
   *
   * @param requestClass the name of the RPC's class
   */
  public String queue(Rpc rpc, String requestClass) {
    if (isClientJob(rpc)) {
      return clientJob(rpc).path(PayloadFields.QUEUE).asText(PayloadFields.DEFAULT_QUEUE);
    }
    return queues.entrySet().stream()
        .filter(queue -> queue.getValue().jobClass().equals(requestClass))
        .map(Map.Entry::getKey)
        .filter(name -> !name.equals(PayloadFields.ANY_QUEUE))
        .findFirst()
        .orElse(PayloadFields.DEFAULT_QUEUE);
  }

  /**
   * Encodes a job for a worker. Its jid is the id of the attempt, so that a report of the worker is
   * matched to this attempt and not to an earlier one.
   *
   * @param requestClass the name of the RPC's class
   * @param budgetMicros the time until the attempt's deadline, in microseconds
   */
  public byte[] encode(Rpc rpc, String requestClass, long budgetMicros) {
    ObjectNode job = isClientJob(rpc) ? clientJobWithJid(rpc) : httpJob(rpc, requestClass);
    job.put(PayloadFields.JID, rpc.id());
    job.put(PayloadFields.RESERVE_FOR, Math.max(1, secondsRoundedUp(budgetMicros)));
    job.put(PayloadFields.RETRY, 0);
    custom(job)
        .put(PayloadFields.CLASS, requestClass)
        .put(PayloadFields.BUDGET_MILLIS, Math.max(1, budgetMicros / MICROS_PER_MILLI));
    return Json.toBytes(job);
  }

  private static long secondsRoundedUp(long micros) {
    return (micros + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND;
  }

  private static ObjectNode clientJobWithJid(Rpc rpc) {
    ObjectNode job = (ObjectNode) clientJob(rpc);
    custom(job).put(PayloadFields.CLIENT_JID, job.path(PayloadFields.JID).asText());
    return job;
  }

  private ObjectNode httpJob(Rpc rpc, String requestClass) {
    ObjectNode job = Json.MAPPER.createObjectNode();
    String path = rpc.target().split("[?]", 2)[0];
    int classPrefixLength = "/".length() + requestClass.length() + "/".length();
    String type = path.substring(Math.min(path.length(), classPrefixLength));
    job.put(PayloadFields.JOB_TYPE, type.isEmpty() ? requestClass : type);
    job.put(PayloadFields.QUEUE, queue(rpc, requestClass));
    job.putArray(PayloadFields.ARGS)
        .addObject()
        .put(PayloadFields.TARGET, rpc.target())
        .put(PayloadFields.BODY, new String(rpc.body().toArray(), StandardCharsets.UTF_8));
    return job;
  }

  private static ObjectNode custom(ObjectNode job) {
    return job.path(PayloadFields.CUSTOM) instanceof ObjectNode custom
        ? custom
        : job.putObject(PayloadFields.CUSTOM);
  }

  private static boolean isClientJob(Rpc rpc) {
    return JobPayloadReader.JOB_CONTENT_TYPE.equals(rpc.contentType());
  }

  private static JsonNode clientJob(Rpc rpc) {
    try {
      return Json.MAPPER.readTree(rpc.body().toArray());
    } catch (IOException e) {
      throw new IllegalStateException("a payload that was checked cannot be read", e);
    }
  }
}
