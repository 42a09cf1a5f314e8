package loomreel.config;

import static loomreel.config.JsonValues.element;
import static loomreel.config.JsonValues.flag;
import static loomreel.config.JsonValues.get;
import static loomreel.config.JsonValues.list;
import static loomreel.config.JsonValues.micros;
import static loomreel.config.JsonValues.number;
import static loomreel.config.JsonValues.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loomreel.decision.DeduplicationScope;
import loomreel.decision.Idempotency;
import loomreel.decision.Settings;

/**
 * Translates the settings object of the platform's JSON. A setting that is absent takes the value
 * that trusts clients and workers least.
 */
public final class SettingsReader {
  private static final String INVARIANTS = "Invariants";
  private static final String POLICY_LIMITS = "PolicyLimits";
  private static final String SPECIFICS = "Specifics";

  private final Object root;

  /**
   * A reader of one settings object.
   *
   * @param root the object as {@link JsonTree} reads it
   */
  public SettingsReader(Object root) {
    this.root = root;
  }

  /**
   * Translates the settings.
   *
   * @throws IllegalArgumentException if they are not an object
   */
  public Settings read() {
    if (!(root instanceof Map<?, ?>)) {
      throw new IllegalArgumentException("the settings are not an object");
    }
    boolean pollsEndpoints = text(root, "Discovery").equals("ask");
    return Settings.builder()
        .dispatchers((int) number(get(root, "Balancers"), 1))
        .zone(text(root, "Locality"))
        .classes(requestClasses())
        .tenants(tenants())
        .rules(rules(pollsEndpoints))
        .limits(limits())
        .pollsEndpoints(pollsEndpoints)
        .stableWeights(!text(root, "Weights").equals("live"))
        .loadReporting(loadReporting())
        .reportsJobStart(flag(root, SPECIFICS, "TellsStart"))
        .tick(micros(0.001, root, "TickS"))
        .clientsMarkRetries(flag(root, "Callers", "MarksRetry"))
        .build();
  }

  private List<Settings.RequestClass> requestClasses() {
    List<Settings.RequestClass> classes = new ArrayList<>();
    for (Object requestClass : list(root, "RequestClasses")) {
      classes.add(requestClass(requestClass, classes.size()));
    }
    return classes;
  }

  /**
   * One class of requests.
   *
   * @param index its place in the list, by which {@code Specifics} has further settings of it
   */
  private Settings.RequestClass requestClass(Object json, int index) {
    return new Settings.RequestClass(
        text(json, "Name"),
        workerKind(index),
        (int) number(element(list(root, SPECIFICS, "ClassPriority"), index), 0),
        number(
            element(list(root, SPECIFICS, "ClassStretch"), index),
            number(get(json, "AimStretch"), 0)),
        micros(0, json, "TargetS"),
        micros(0, json, "DeadlineS"),
        number(get(json, "Value"), 1),
        number(get(json, "LateValue"), 0),
        idempotency(json),
        deduplicationScope(json),
        micros(0, json, "WindowS"));
  }

  /**
   * The kind of worker that a class needs, which is written by name or as an index into {@code
   * HostTypes}; null where any kind will do.
   */
  private String workerKind(int classIndex) {
    Object kind = element(list(root, SPECIFICS, "ClassKind"), classIndex);
    if (kind instanceof Number index) {
      kind = element(list(root, "HostTypes"), index.intValue());
    }
    return kind instanceof String name ? name : null;
  }

  private static Idempotency idempotency(Object json) {
    return switch (text(json, "Repeat")) {
      case "free" -> Idempotency.IDEMPOTENT;
      case "guarded" -> Idempotency.KEYED;
      default -> Idempotency.NON_IDEMPOTENT;
    };
  }

  private static DeduplicationScope deduplicationScope(Object json) {
    return switch (text(json, "Group")) {
      case "all" -> DeduplicationScope.ALL;
      case "zone" -> DeduplicationScope.ZONE;
      default -> DeduplicationScope.FAILURE_DOMAIN;
    };
  }

  private List<Settings.Tenant> tenants() {
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (Object tenant : list(root, "Tenants")) {
      double allowance = number(get(tenant, "AllowancePerS"), Double.POSITIVE_INFINITY);
      tenants.add(new Settings.Tenant(text(tenant, "Name"), allowance));
    }
    return tenants;
  }

  private Settings.Rules rules(boolean pollsEndpoints) {
    return new Settings.Rules(
        micros(0, root, INVARIANTS, "StopSendingWithinS"),
        pollsEndpoints ? micros(10, root, INVARIANTS, "AskWithinS") : 0,
        number(get(root, INVARIANTS, "ColdFrom"), 0.1),
        micros(30, root, INVARIANTS, "ColdS"),
        number(get(root, INVARIANTS, "TipMultiple"), 2),
        micros(1, root, INVARIANTS, "FallS"));
  }

  private Settings.Limits limits() {
    return new Settings.Limits(
        (int) number(get(root, POLICY_LIMITS, "MaxAttempts"), 1),
        flag(root, POLICY_LIMITS, "SecondCopies"),
        flag(root, POLICY_LIMITS, "Cancelling"),
        flag(root, POLICY_LIMITS, "Probing"),
        flag(root, POLICY_LIMITS, "RetryAfter"),
        micros(0, root, POLICY_LIMITS, "MaxRetryAfterS"));
  }

  private Settings.LoadReporting loadReporting() {
    return switch (text(root, "Telemetry", "How")) {
      case "answers" -> Settings.LoadReporting.WITH_ANSWERS;
      case "probe" -> Settings.LoadReporting.WITH_HEALTH_CHECKS;
      default -> Settings.LoadReporting.NONE;
    };
  }
}
