package loomreel.program.harness;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import loomreel.program.harness.EndpointList.Health;

/**
 * The configuration file of a dispatcher under test. A new one is the standard configuration;
 * setters change it in place and return it. The addresses of stubs are set by {@link
 * DispatcherHarness}.
 */
public final class TestConfiguration {
  /** How the dispatcher gets endpoint lists, with its name in a configuration. */
  public enum DiscoveryMode {
    POLL("ask"),
    PUSH("push");

    private final String settingName;

    DiscoveryMode(String settingName) {
      this.settingName = settingName;
    }
  }

  /** How the dispatcher gets load reports. */
  public enum LoadReports {
    NONE,
    /** By health checks. */
    POLLED
  }

  private final ObjectNode root;
  private List<Health> knownHealth = List.of(Health.SERVING);
  private boolean isKnownListConfirmed = true;

  /** The standard configuration: the request classes copy and issue, polled discovery. */
  public TestConfiguration() {
    root = new ObjectMapper().createObjectNode();
    root.put("name", "n0").put("listen", "127.0.0.1:0").put("seed", "8c1f30d27a5be964");
    root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
    ObjectNode settings = root.putObject("settings");
    settings.put("Balancers", 1).put("Locality", "n").put("TickS", 0.004);
    settings.putObject("Specifics").put("TellsStart", false);
    putPolicyLimits(settings.putObject("PolicyLimits"));
    putInvariants(settings.putObject("Invariants"));
    requestClasses(RequestClass.copy(), RequestClass.issue());
    discoveryMode(DiscoveryMode.POLL);
    loadReports(LoadReports.NONE);
  }

  private TestConfiguration(TestConfiguration original) {
    root = original.root.deepCopy();
    knownHealth = original.knownHealth;
    isKnownListConfirmed = original.isKnownListConfirmed;
  }

  private static void putPolicyLimits(ObjectNode limits) {
    limits
        .put("MaxAttempts", 4)
        .put("Cancelling", true)
        .put("SecondCopies", true)
        .put("RetryAfter", true)
        .put("MaxRetryAfterS", 1.5)
        .put("ConnectTimeoutS", 5)
        .put("ConnIdleS", 60);
  }

  private static void putInvariants(ObjectNode invariants) {
    invariants
        .put("StopSendingWithinS", 3)
        .put("AskWithinS", 0.5)
        .put("ColdFrom", 0.2)
        .put("ColdS", 20)
        .put("TipMultiple", 3)
        .put("FallS", 2)
        .put("AnswerSlackS", 0.016);
  }

  /** A copy to be changed without this one. */
  public TestConfiguration copy() {
    return new TestConfiguration(this);
  }

  /** The name of the dispatcher. */
  public TestConfiguration name(String name) {
    root.put("name", name);
    return this;
  }

  /** The descriptors that the dispatcher may use. */
  public TestConfiguration descriptorLimit(int descriptors) {
    ((ObjectNode) root.get("limits")).put("sockets", descriptors);
    return this;
  }

  /** Has the dispatcher serve the management API, at a free port. */
  public TestConfiguration managementApi() {
    root.put("mgmt", "127.0.0.1:0");
    return this;
  }

  /** Whether the dispatcher serves the management API. */
  boolean hasManagementApi() {
    return root.has("mgmt");
  }

  /** The address of discovery. */
  public TestConfiguration discoveryAddress(String address) {
    root.put("discovery", address);
    return this;
  }

  /** The endpoint list that is known at the start. */
  TestConfiguration knownEndpoints(EndpointList endpoints) {
    root.set("known", endpoints.toTree());
    return this;
  }

  /** The health of w0, w1 and so on in the list that is known at the start; the last repeats. */
  public TestConfiguration knownHealth(Health... health) {
    knownHealth = List.of(health);
    return this;
  }

  /** The health of workers in the list that is known at the start. */
  Health[] knownHealth() {
    return knownHealth.toArray(Health[]::new);
  }

  /** Has the test answer the first call to polled discovery, which is confirmed otherwise. */
  public TestConfiguration knownListUnconfirmed() {
    isKnownListConfirmed = false;
    return this;
  }

  /** Whether discovery is polled and confirms the list that is known at the start. */
  boolean isKnownListConfirmed() {
    boolean isPolled = settings().path("Discovery").asText().equals(DiscoveryMode.POLL.settingName);
    return isPolled && isKnownListConfirmed;
  }

  /** Replaces all settings of the deployment. */
  public TestConfiguration deploymentSettings(ObjectNode settings) {
    root.set("settings", settings);
    return this;
  }

  /** Replaces the request classes. */
  public TestConfiguration requestClasses(RequestClass... classes) {
    ArrayNode json = settings().putArray("RequestClasses");
    for (RequestClass requestClass : classes) {
      requestClass.writeTo(json.addObject());
    }
    return this;
  }

  /** How the dispatcher gets endpoint lists. */
  public TestConfiguration discoveryMode(DiscoveryMode mode) {
    settings().put("Discovery", mode.settingName);
    return this;
  }

  /** How the dispatcher gets load reports. */
  public TestConfiguration loadReports(LoadReports reports) {
    boolean polled = reports == LoadReports.POLLED;
    policyLimits().put("Probing", polled);
    settings().putObject("Telemetry").put("How", polled ? "probe" : "none");
    return this;
  }

  /** Whether attempts may be cancelled at their workers. */
  public TestConfiguration cancellation(boolean allowed) {
    policyLimits().put("Cancelling", allowed);
    return this;
  }

  /** How long a connection to a worker may take to be established. */
  public TestConfiguration connectTimeoutSeconds(double seconds) {
    policyLimits().put("ConnectTimeoutS", seconds);
    return this;
  }

  /** The time after which workers close idle connections. */
  public TestConfiguration idleConnectionSeconds(double seconds) {
    policyLimits().put("ConnIdleS", seconds);
    return this;
  }

  /** How long jobs may still be sent to a worker that drains. */
  public TestConfiguration drainGraceSeconds(double seconds) {
    invariants().put("StopSendingWithinS", seconds);
    return this;
  }

  /** How often discovery is polled at the least. */
  public TestConfiguration discoveryPollIntervalSeconds(double seconds) {
    invariants().put("AskWithinS", seconds);
    return this;
  }

  private ObjectNode settings() {
    return (ObjectNode) root.get("settings");
  }

  private ObjectNode policyLimits() {
    return (ObjectNode) settings().get("PolicyLimits");
  }

  private ObjectNode invariants() {
    return (ObjectNode) settings().get("Invariants");
  }

  /** The text of the configuration file. */
  public String toJson() {
    return root.toString();
  }
}
