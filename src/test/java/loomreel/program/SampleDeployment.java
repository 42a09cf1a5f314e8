package loomreel.program;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;

/** A deployment described in {@code deploy/sites}, and the settings that its dispatchers get. */
final class SampleDeployment {
  private static final TomlMapper TOML = new TomlMapper();
  private static final double MILLIS_PER_SECOND = 1000;

  /** Jobs may take this many times their own work beyond the latency objective. */
  private static final int STRETCH = 1000;

  /** The jobs per second of all tenants together. */
  private static final int TOTAL_QUOTA_PER_SECOND = 200;

  private final JsonNode site;

  /** Reads {@code deploy/sites/NAME.toml}. */
  SampleDeployment(String name) throws IOException {
    site = TOML.readTree(Path.of("deploy", "sites", name + ".toml").toFile());
  }

  /** The request classes in the terms of the file. */
  JsonNode classes() {
    return site.get("class");
  }

  /** The settings in the terms of the platform's configuration. */
  ObjectNode settings() {
    ObjectNode settings = TOML.createObjectNode();
    settings
        .put("Balancers", 3)
        .put("Discovery", site.at("/discovery/mode").asText())
        .put("TickS", seconds(site.at("/day/tick_ms")))
        .put("Locality", site.at("/net/zones/0").asText())
        .put("Weights", site.at("/tier/0/weights").asText());
    settings.putObject("Telemetry").put("How", site.at("/tier/0/report/how").asText());
    putClasses(settings);
    putTenants(settings);
    putPolicyLimits(settings.putObject("PolicyLimits"));
    putInvariants(settings.putObject("Invariants"));
    return settings;
  }

  private static double seconds(JsonNode millis) {
    return millis.asDouble() / MILLIS_PER_SECOND;
  }

  private void putClasses(ObjectNode settings) {
    ArrayNode classes = settings.putArray("RequestClasses");
    ObjectNode specifics = settings.putObject("Specifics");
    specifics.put("TellsStart", site.at("/fam/tells_start").asBoolean());
    ArrayNode stretches = specifics.putArray("ClassStretch");
    for (JsonNode requestClass : classes()) {
      classes
          .addObject()
          .put("Name", requestClass.get("name").asText())
          .put("TargetS", seconds(requestClass.get("aim_ms")))
          .put("DeadlineS", seconds(requestClass.get("deadline_ms")))
          .put("Value", requestClass.get("worth").asDouble())
          .put("Repeat", repeatSetting(requestClass.get("effect").asText()))
          .put("Group", requestClass.path("group").asText("all"))
          .put("WindowS", requestClass.path("window_ms").asDouble(0) / MILLIS_PER_SECOND);
      stretches.add(STRETCH);
    }
  }

  private static String repeatSetting(String effect) {
    return switch (effect) {
      case "safe" -> "free";
      case "keyed" -> "guarded";
      default -> "single_shot";
    };
  }

  private void putTenants(ObjectNode settings) {
    for (JsonNode tenant : site.get("tenant")) {
      settings
          .withArray("Tenants")
          .addObject()
          .put("Name", tenant.get("name").asText())
          .put("AllowancePerS", TOTAL_QUOTA_PER_SECOND * tenant.get("share").asDouble());
    }
  }

  private void putPolicyLimits(ObjectNode limits) {
    JsonNode allow = site.get("allow");
    JsonNode connections = site.at("/tier/0/conn");
    limits
        .put("MaxAttempts", allow.get("max_attempts").asInt())
        .put("Cancelling", allow.get("cancel").asBoolean())
        .put("SecondCopies", allow.get("second_copies").asBoolean())
        .put("Probing", allow.get("probes").asBoolean())
        .put("RetryAfter", allow.get("retry_after").asBoolean())
        .put("MaxRetryAfterS", 2)
        .put("ConnectTimeoutS", seconds(connections.path("connect_timeout_ms")))
        .put("ConnIdleS", connections.path("idle_s").asDouble());
  }

  private void putInvariants(ObjectNode invariants) {
    JsonNode rules = site.get("rules");
    invariants
        .put("StopSendingWithinS", seconds(rules.get("drain_grace_ms")))
        .put("AskWithinS", 10)
        .put("ColdFrom", site.at("/tier/0/kind/0/cold_from/0").asDouble())
        .put("ColdS", site.at("/tier/0/kind/0/cold_s/1").asDouble())
        .put("TipMultiple", rules.get("fall_multiple").asDouble())
        .put("FallS", seconds(rules.get("fall_ms")))
        .put("AnswerSlackS", 0.016);
  }
}
