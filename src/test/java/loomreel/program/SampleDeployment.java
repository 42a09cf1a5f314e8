package loomreel.program;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;

/**
 * A sample deployment, which is described in a file of {@code deploy/sites}. This class reads the
 * file and converts its content to the settings of the deployment's dispatchers.
 */
final class SampleDeployment {
  private static final TomlMapper TOML = new TomlMapper();
  private static final double MILLIS_PER_SECOND = 1000;

  /**
   * How much the latency objective of a job grows for each microsecond of the job's own work, in
   * microseconds.
   */
  private static final int LATENCY_OBJECTIVE_PER_WORK = 1000;

  /** The sum of the quotas of all tenants, in jobs per second. */
  private static final int TOTAL_QUOTA_PER_SECOND = 200;

  /** The content of the deployment's file. */
  private final JsonNode description;

  /** Reads {@code deploy/sites/NAME.toml}. */
  SampleDeployment(String name) throws IOException {
    description = TOML.readTree(Path.of("deploy", "sites", name + ".toml").toFile());
  }

  /** Returns the request classes as they are in the file, with unconverted keys and values. */
  JsonNode classes() {
    return description.get("class");
  }

  /**
   * Returns the settings in the format of a dispatcher's configuration. This format differs from
   * the file in its keys, in its units and in the words for some values. The content of the file is
   * converted accordingly. Some values are constants and are not read from the file.
   */
  ObjectNode settings() {
    ObjectNode settings = TOML.createObjectNode();
    settings
        .put("Balancers", 3)
        .put("Discovery", description.at("/discovery/mode").asText())
        .put("TickS", seconds(description.at("/day/tick_ms")))
        .put("Locality", description.at("/net/zones/0").asText())
        .put("Weights", description.at("/tier/0/weights").asText());
    settings.putObject("Telemetry").put("How", description.at("/tier/0/report/how").asText());
    putClasses(settings);
    putTenants(settings);
    putPolicyLimits(settings.putObject("PolicyLimits"));
    putInvariants(settings.putObject("Invariants"));
    return settings;
  }

  /** Converts a duration in milliseconds to seconds. */
  private static double seconds(JsonNode millis) {
    return millis.asDouble() / MILLIS_PER_SECOND;
  }

  private void putClasses(ObjectNode settings) {
    ArrayNode classes = settings.putArray("RequestClasses");
    ObjectNode specifics = settings.putObject("Specifics");
    specifics.put("TellsStart", description.at("/fam/tells_start").asBoolean());
    ArrayNode latencyObjectivesPerWork = specifics.putArray("ClassStretch");
    for (JsonNode requestClass : classes()) {
      classes
          .addObject()
          .put("Name", requestClass.get("name").asText())
          .put("TargetS", seconds(requestClass.get("aim_ms")))
          .put("DeadlineS", seconds(requestClass.get("deadline_ms")))
          .put("Value", requestClass.get("worth").asDouble())
          .put("Repeat", idempotencySetting(requestClass.get("effect").asText()))
          .put("Group", requestClass.path("group").asText("all"))
          .put("WindowS", requestClass.path("window_ms").asDouble(0) / MILLIS_PER_SECOND);
      latencyObjectivesPerWork.add(LATENCY_OBJECTIVE_PER_WORK);
    }
  }

  /**
   * Converts the effect of a request class to the value of the setting {@code Repeat}. In the file,
   * the key {@code effect} says whether a job of the class may run twice. The setting {@code
   * Repeat} has the same meaning, but other values.
   */
  private static String idempotencySetting(String effect) {
    return switch (effect) {
      case "safe" -> "free";
      case "keyed" -> "guarded";
      default -> "single_shot";
    };
  }

  private void putTenants(ObjectNode settings) {
    for (JsonNode tenant : description.get("tenant")) {
      settings
          .withArray("Tenants")
          .addObject()
          .put("Name", tenant.get("name").asText())
          .put("AllowancePerS", TOTAL_QUOTA_PER_SECOND * tenant.get("share").asDouble());
    }
  }

  private void putPolicyLimits(ObjectNode limits) {
    JsonNode allowed = description.get("allow");
    JsonNode connections = description.at("/tier/0/conn");
    limits
        .put("MaxAttempts", allowed.get("max_attempts").asInt())
        .put("Cancelling", allowed.get("cancel").asBoolean())
        .put("SecondCopies", allowed.get("second_copies").asBoolean())
        .put("Probing", allowed.get("probes").asBoolean())
        .put("RetryAfter", allowed.get("retry_after").asBoolean())
        .put("MaxRetryAfterS", 2)
        .put("ConnectTimeoutS", seconds(connections.path("connect_timeout_ms")))
        .put("ConnIdleS", connections.path("idle_s").asDouble());
  }

  private void putInvariants(ObjectNode invariants) {
    JsonNode rules = description.get("rules");
    invariants
        .put("StopSendingWithinS", seconds(rules.get("drain_grace_ms")))
        .put("AskWithinS", 10)
        .put("ColdFrom", description.at("/tier/0/kind/0/cold_from/0").asDouble())
        .put("ColdS", description.at("/tier/0/kind/0/cold_s/1").asDouble())
        .put("TipMultiple", rules.get("fall_multiple").asDouble())
        .put("FallS", seconds(rules.get("fall_ms")))
        .put("AnswerSlackS", 0.016);
  }
}
