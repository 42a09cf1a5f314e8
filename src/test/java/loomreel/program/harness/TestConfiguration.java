package loomreel.program.harness;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import loomreel.program.harness.EndpointList.Health;

/**
 * The content of the configuration file of a dispatcher under test. A new instance has the standard
 * configuration. Each setter changes the instance in place and returns the same instance.
 *
 * <p>Before a dispatcher starts, {@link DispatcherHarness#prepareConfiguration} copies the instance
 * of the test. It adds the address of stub discovery and an endpoint list with the addresses of the
 * stub workers to this copy. The instance of the test does not change.
 */
public final class TestConfiguration {
  /** How the dispatcher receives endpoint lists. */
  public enum DiscoveryMode {
    /** The dispatcher calls the discovery service directly. */
    POLL("ask"),
    /**
     * The dispatcher calls an agent on its own machine, and the agent responds with endpoint lists.
     * The discovery service pushes the lists to the agent, not to the dispatcher.
     */
    PUSH("push");

    /** The value of the setting {@code Discovery} in a configuration. */
    private final String settingValue;

    DiscoveryMode(String settingValue) {
      this.settingValue = settingValue;
    }
  }

  /** How the dispatcher receives the load reports of workers. */
  public enum LoadReports {
    NONE,
    /** The dispatcher sends health checks to workers. The responses are the load reports. */
    POLLED
  }

  private final ObjectNode root;
  private List<Health> knownHealth = List.of(Health.SERVING);
  private boolean isInitialListConfirmed = true;

  /**
   * Creates the standard configuration: the request classes {@link RequestClass#copy} and {@link
   * RequestClass#issue}, discovery mode {@link DiscoveryMode#POLL}, no load reports and no
   * management API.
   */
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
    isInitialListConfirmed = original.isInitialListConfirmed;
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

  /** Returns a copy. Later changes to this instance do not change the copy, and vice versa. */
  public TestConfiguration copy() {
    return new TestConfiguration(this);
  }

  /** Sets the name of the dispatcher. */
  public TestConfiguration name(String name) {
    root.put("name", name);
    return this;
  }

  /** Sets how many file descriptors the dispatcher may use. */
  public TestConfiguration descriptorLimit(int descriptors) {
    ((ObjectNode) root.get("limits")).put("sockets", descriptors);
    return this;
  }

  /** Makes the dispatcher serve the management API on a free port. */
  public TestConfiguration managementApi() {
    root.put("mgmt", "127.0.0.1:0");
    return this;
  }

  /** Returns whether the dispatcher serves the management API. */
  boolean hasManagementApi() {
    return root.has("mgmt");
  }

  /** Sets the address of discovery, as host:port. */
  public TestConfiguration discoveryAddress(String address) {
    root.put("discovery", address);
    return this;
  }

  /**
   * Sets the initial endpoint list. This list is part of the configuration, so that the dispatcher
   * has the list before it calls discovery.
   */
  TestConfiguration initialEndpoints(EndpointList endpoints) {
    root.set("known", endpoints.toTree());
    return this;
  }

  /**
   * Sets the health of w0, w1 and so on in the initial endpoint list, which is part of the
   * configuration. If there are more workers than values, the last value applies to the remaining
   * workers.
   */
  public TestConfiguration knownHealth(Health... health) {
    knownHealth = List.of(health);
    return this;
  }

  /** Returns a copy of the values that were set with {@link #knownHealth(Health...)}. */
  Health[] knownHealth() {
    return knownHealth.toArray(Health[]::new);
  }

  /**
   * Specifies that stub discovery does not confirm the initial endpoint list, which is part of the
   * configuration. In discovery mode {@link DiscoveryMode#POLL}, the dispatcher first calls
   * discovery to ask whether this list is still current. By default, stub discovery confirms the
   * list: it responds that the list is current. If the test has called this method, stub discovery
   * queues the dispatcher's call, and the test can respond.
   */
  public TestConfiguration knownListUnconfirmed() {
    isInitialListConfirmed = false;
    return this;
  }

  /**
   * Returns whether stub discovery confirms the initial endpoint list, that is, responds to the
   * dispatcher's first call that the list is still current. Stub discovery confirms the list if the
   * discovery mode is {@link DiscoveryMode#POLL} and {@link #knownListUnconfirmed} was not called.
   */
  boolean isInitialListConfirmed() {
    boolean isPolled =
        settings().path("Discovery").asText().equals(DiscoveryMode.POLL.settingValue);
    return isPolled && isInitialListConfirmed;
  }

  /**
   * Replaces the JSON object {@code settings} in this configuration. All members of the previous
   * object, such as the request classes, are lost.
   *
   * @param settings the new object, with the settings of a deployment. The object is not copied, so
   *     that later setters change it.
   */
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

  /** Sets how the dispatcher receives endpoint lists. */
  public TestConfiguration discoveryMode(DiscoveryMode mode) {
    settings().put("Discovery", mode.settingValue);
    return this;
  }

  /** Sets how the dispatcher receives the load reports of workers. */
  public TestConfiguration loadReports(LoadReports reports) {
    boolean polled = reports == LoadReports.POLLED;
    policyLimits().put("Probing", polled);
    settings().putObject("Telemetry").put("How", polled ? "probe" : "none");
    return this;
  }

  /** Sets whether the dispatcher may send the cancellation of an attempt to its worker. */
  public TestConfiguration cancellation(boolean allowed) {
    policyLimits().put("Cancelling", allowed);
    return this;
  }

  /** Sets the maximum time, in seconds, to establish a connection to a worker. */
  public TestConfiguration connectTimeoutSeconds(double seconds) {
    policyLimits().put("ConnectTimeoutS", seconds);
    return this;
  }

  /**
   * Tells the dispatcher after how many seconds workers close idle connections. The dispatcher
   * closes its idle connections to workers earlier, because a job that is sent while the worker
   * closes the connection can be lost. This setting does not change the stub workers.
   */
  public TestConfiguration idleConnectionSeconds(double seconds) {
    policyLimits().put("ConnIdleS", seconds);
    return this;
  }

  /** Sets how long, in seconds, the dispatcher may still send jobs to a draining worker. */
  public TestConfiguration drainGraceSeconds(double seconds) {
    invariants().put("StopSendingWithinS", seconds);
    return this;
  }

  /** Sets the maximum time, in seconds, between two polls of discovery. */
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

  /** Returns the text of the configuration file. */
  public String toJson() {
    return root.toString();
  }
}
