package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Deployments of our own, unlike any that the program was made for: what they say is all that it
 * goes by.
 */
@Timeout(120)
class SampleDeploymentsTest {
  private static final TomlMapper TOML = new TomlMapper();

  private static JsonNode site(String name) throws IOException {
    return TOML.readTree(Path.of("deploy", "sites", name + ".toml").toFile());
  }

  /** Each site with the position of each of its classes. */
  static Stream<Arguments> classes() throws IOException {
    List<Arguments> all = new ArrayList<>();
    for (String name : new String[] {"gentle", "tight"}) {
      for (int i = 0; i < site(name).get("class").size(); i++) {
        all.add(Arguments.of(name, i));
      }
    }
    return all.stream();
  }

  /** The settings that a dispatcher of such a site is given. */
  // Not split yet; listed in docs/ROADMAP.md.
  @SuppressWarnings("checkstyle:MethodLength")
  private static ObjectNode settings(JsonNode site) {
    ObjectNode root = TOML.createObjectNode();
    root.put("Balancers", 3)
        .put("Discovery", site.at("/discovery/mode").asText())
        .put("TickS", site.at("/day/tick_ms").asDouble() / 1000)
        .put("Locality", site.at("/net/zones/0").asText())
        .put("Weights", site.at("/tier/0/weights").asText());
    ArrayNode classes = root.putArray("RequestClasses");
    ObjectNode specifics =
        root.putObject("Specifics").put("TellsStart", site.at("/fam/tells_start").asBoolean());
    ArrayNode stretch = specifics.putArray("ClassStretch");
    for (JsonNode c : site.get("class")) {
      classes
          .addObject()
          .put("Name", c.get("name").asText())
          .put("TargetS", c.get("aim_ms").asDouble() / 1000)
          .put("DeadlineS", c.get("deadline_ms").asDouble() / 1000)
          .put("Value", c.get("worth").asDouble())
          .put(
              "Repeat",
              switch (c.get("effect").asText()) {
                case "safe" -> "free";
                case "keyed" -> "guarded";
                default -> "single_shot";
              })
          .put("Group", c.path("group").asText("all"))
          .put("WindowS", c.path("window_ms").asDouble(0) / 1000);
      stretch.add(1000);
    }
    for (JsonNode t : site.get("tenant")) {
      root.withArray("Tenants")
          .addObject()
          .put("Name", t.get("name").asText())
          .put("AllowancePerS", 200 * t.get("share").asDouble());
    }
    JsonNode allow = site.get("allow");
    root.putObject("PolicyLimits")
        .put("MaxAttempts", allow.get("max_attempts").asInt())
        .put("Cancelling", allow.get("cancel").asBoolean())
        .put("SecondCopies", allow.get("second_copies").asBoolean())
        .put("Probing", allow.get("probes").asBoolean())
        .put("RetryAfter", allow.get("retry_after").asBoolean())
        .put("MaxRetryAfterS", 2)
        .put("ConnectTimeoutS", site.at("/tier/0/conn/connect_timeout_ms").asDouble() / 1000)
        .put("ConnIdleS", site.at("/tier/0/conn/idle_s").asDouble());
    root.putObject("Telemetry").put("How", site.at("/tier/0/report/how").asText());
    JsonNode rules = site.get("rules");
    root.putObject("Invariants")
        .put("StopSendingWithinS", rules.get("drain_grace_ms").asDouble() / 1000)
        .put("AskWithinS", 10)
        .put("ColdFrom", site.at("/tier/0/kind/0/cold_from/0").asDouble())
        .put("ColdS", site.at("/tier/0/kind/0/cold_s/1").asDouble())
        .put("TipMultiple", rules.get("fall_multiple").asDouble())
        .put("FallS", rules.get("fall_ms").asDouble() / 1000)
        .put("AnswerSlackS", 0.016);
    return root;
  }

  /** What a copy worker is handed next; where it is only asked for its load, it has room. */
  private static HttpMessage nextJob(DispatcherHarness stage, int[] at) throws Exception {
    while (true) {
      for (int i = 0; i < stage.workers.size(); i++) {
        if (stage.workers.get(i).hasPendingRequest()) {
          HttpMessage next = stage.workers.get(i).nextRequest();
          if (next.startLine().startsWith("POST")) {
            at[0] = i;
            return next;
          }
          next.respond(200, "TEXT inflight=0, queue=0, util=0.1, x0=4");
        }
      }
      Thread.onSpinWait();
    }
  }

  /**
   * A job of each class is served; after a reset it is sent again as its effect allows, and not
   * otherwise.
   */
  @ParameterizedTest
  @MethodSource("classes")
  void eachClassIsServedByWhatTheSettingsSay(String name, int position) throws Exception {
    JsonNode site = site(name);
    JsonNode type = site.get("class").get(position);
    String effect = type.get("effect").asText();
    int[] at = new int[1];
    try (StepControlledServer server =
        new StepControlledServer(3, new TestConfiguration().deploymentSettings(settings(site)))) {
      for (boolean reset : new boolean[] {false, true}) {
        SubmittedJob job =
            server.submitWithKey("/" + type.get("name").asText() + "/1", "key-" + reset);
        HttpMessage post = nextJob(server, at);
        assertEquals("key-" + reset, post.header("Idempotency-Key"));
        if (reset) {
          int first = at[0];
          post.connection().close();
          if (effect.equals("unsafe")) {
            assertEquals(500, job.response().status());
            continue;
          }
          post = nextJob(server, at);
          assertTrue(at[0] != first, "not to the same one again");
        }
        assertEquals(job.id(), post.header("X-Call-Id"));
        post.respond(202, "");
        assertEquals(
            200,
            server.reportStatus(
                job.id(), "w" + at[0], "done", ",\"result\":\"" + name + reset + "\""));
        assertEquals(name + reset, job.response().body());
      }
      assertEquals(
          404,
          server.submit("/copy", "").response().status(),
          "a class of another deployment is none here");
      assertFalse(server.workers.stream().anyMatch(w -> w.hasPendingJob()));
    }
  }
}
