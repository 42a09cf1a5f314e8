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
 * Translates the {@code settings} object of the platform's JSON configuration into {@link
 * Settings}.
 *
 * <p>An absent setting has a default. Most defaults assume that clients and workers support as
 * little as possible: requests are not idempotent, a request has one attempt, workers deduplicate
 * requests only within one failure domain, clients do not mark retries, and workers report neither
 * their load nor the start of a job. The weights of workers are assumed not to change.
 */
public final class SettingsReader {
  private static final double DEFAULT_TICK_SECONDS = 0.001;
  private static final double DEFAULT_POLL_INTERVAL_SECONDS = 10;
  private static final double DEFAULT_INITIAL_CAPACITY_FRACTION = 0.1;
  private static final double DEFAULT_SLOW_START_SECONDS = 30;
  private static final double DEFAULT_OVERLOAD_MULTIPLE = 2;
  private static final double DEFAULT_OVERLOAD_WINDOW_SECONDS = 1;

  private final Object root;

  /**
   * Creates a reader of one settings object.
   *
   * @param root the settings object, as a tree that {@link JsonTree} has returned
   */
  public SettingsReader(Object root) {
    this.root = root;
  }

  /**
   * Returns the translated settings.
   *
   * @throws IllegalArgumentException if the root is not a JSON object
   */
  public Settings read() {
    if (!(root instanceof Map<?, ?>)) {
      throw new IllegalArgumentException("the settings are not an object");
    }
    boolean pollsEndpoints =
        text(root, SettingsKeys.DISCOVERY_MODE).equals(SettingsKeys.DISCOVERY_MODE_POLL);
    return Settings.builder()
        .dispatchers((int) number(get(root, SettingsKeys.DISPATCHERS), 1))
        .zone(text(root, SettingsKeys.ZONE))
        .classes(requestClasses())
        .tenants(tenants())
        .rules(rules(pollsEndpoints))
        .limits(limits())
        .pollsEndpoints(pollsEndpoints)
        .stableWeights(!text(root, SettingsKeys.WEIGHTS).equals(SettingsKeys.WEIGHTS_CHANGING))
        .loadReporting(loadReporting())
        .reportsJobStart(flag(root, SettingsKeys.EXTENSIONS, SettingsKeys.REPORTS_JOB_START))
        .tick(micros(DEFAULT_TICK_SECONDS, root, SettingsKeys.TICK_SECONDS))
        .clientsMarkRetries(flag(root, SettingsKeys.CLIENTS, SettingsKeys.CLIENTS_MARK_RETRIES))
        .build();
  }

  private List<Settings.RequestClass> requestClasses() {
    List<Settings.RequestClass> classes = new ArrayList<>();
    for (Object requestClass : list(root, SettingsKeys.REQUEST_CLASSES)) {
      classes.add(requestClass(requestClass, classes.size()));
    }
    return classes;
  }

  /**
   * Translates one request class.
   *
   * @param json the entry of the class in the list of request classes
   * @param index the position of the entry in the list. The lists in {@link
   *     SettingsKeys#EXTENSIONS} contain further settings of the class at the same position.
   */
  private Settings.RequestClass requestClass(Object json, int index) {
    return new Settings.RequestClass(
        text(json, SettingsKeys.CLASS_NAME),
        workerKind(index),
        (int)
            number(
                element(list(root, SettingsKeys.EXTENSIONS, SettingsKeys.CLASS_PRIORITIES), index),
                0),
        number(
            element(
                list(root, SettingsKeys.EXTENSIONS, SettingsKeys.CLASS_LATENCY_OBJECTIVES_PER_WORK),
                index),
            number(get(json, SettingsKeys.LATENCY_OBJECTIVE_PER_WORK), 0)),
        micros(0, json, SettingsKeys.LATENCY_OBJECTIVE_SECONDS),
        micros(0, json, SettingsKeys.DEADLINE_SECONDS),
        number(get(json, SettingsKeys.PRIORITY_WEIGHT), 1),
        number(get(json, SettingsKeys.LATE_PRIORITY_FRACTION), 0),
        idempotency(json),
        deduplicationScope(json),
        micros(0, json, SettingsKeys.DEDUPLICATION_WINDOW_SECONDS));
  }

  /**
   * Returns the kind of worker that a request class needs, or null if any kind is suitable. The
   * configuration contains the name of the kind, or the position of the name in {@link
   * SettingsKeys#WORKER_KINDS}.
   */
  private String workerKind(int classIndex) {
    Object kind =
        element(list(root, SettingsKeys.EXTENSIONS, SettingsKeys.CLASS_WORKER_KINDS), classIndex);
    if (kind instanceof Number index) {
      kind = element(list(root, SettingsKeys.WORKER_KINDS), index.intValue());
    }
    return kind instanceof String name ? name : null;
  }

  private static Idempotency idempotency(Object json) {
    return switch (text(json, SettingsKeys.IDEMPOTENCY)) {
      case SettingsKeys.IDEMPOTENT -> Idempotency.IDEMPOTENT;
      case SettingsKeys.KEYED -> Idempotency.KEYED;
      default -> Idempotency.NON_IDEMPOTENT;
    };
  }

  private static DeduplicationScope deduplicationScope(Object json) {
    return switch (text(json, SettingsKeys.DEDUPLICATION_SCOPE)) {
      case SettingsKeys.DEDUPLICATION_SCOPE_ALL -> DeduplicationScope.ALL;
      case SettingsKeys.DEDUPLICATION_SCOPE_ZONE -> DeduplicationScope.ZONE;
      default -> DeduplicationScope.FAILURE_DOMAIN;
    };
  }

  private List<Settings.Tenant> tenants() {
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (Object tenant : list(root, SettingsKeys.TENANTS)) {
      double quotaPerSecond =
          number(get(tenant, SettingsKeys.QUOTA_PER_SECOND), Double.POSITIVE_INFINITY);
      tenants.add(new Settings.Tenant(text(tenant, SettingsKeys.TENANT_NAME), quotaPerSecond));
    }
    return tenants;
  }

  private Settings.Rules rules(boolean pollsEndpoints) {
    return new Settings.Rules(
        micros(0, root, SettingsKeys.RULES, SettingsKeys.DRAIN_GRACE_SECONDS),
        pollsEndpoints
            ? micros(
                DEFAULT_POLL_INTERVAL_SECONDS,
                root,
                SettingsKeys.RULES,
                SettingsKeys.POLL_INTERVAL_SECONDS)
            : 0,
        number(
            get(root, SettingsKeys.RULES, SettingsKeys.INITIAL_CAPACITY_FRACTION),
            DEFAULT_INITIAL_CAPACITY_FRACTION),
        micros(
            DEFAULT_SLOW_START_SECONDS, root, SettingsKeys.RULES, SettingsKeys.SLOW_START_SECONDS),
        number(
            get(root, SettingsKeys.RULES, SettingsKeys.OVERLOAD_MULTIPLE),
            DEFAULT_OVERLOAD_MULTIPLE),
        micros(
            DEFAULT_OVERLOAD_WINDOW_SECONDS,
            root,
            SettingsKeys.RULES,
            SettingsKeys.OVERLOAD_WINDOW_SECONDS));
  }

  private Settings.Limits limits() {
    return new Settings.Limits(
        (int) number(get(root, SettingsKeys.LIMITS, SettingsKeys.MAX_ATTEMPTS), 1),
        flag(root, SettingsKeys.LIMITS, SettingsKeys.HEDGING),
        flag(root, SettingsKeys.LIMITS, SettingsKeys.CANCELLATION),
        flag(root, SettingsKeys.LIMITS, SettingsKeys.HEALTH_CHECKS),
        flag(root, SettingsKeys.LIMITS, SettingsKeys.RETRY_AFTER_PERMITTED),
        micros(0, root, SettingsKeys.LIMITS, SettingsKeys.MAX_RETRY_AFTER_SECONDS));
  }

  private Settings.LoadReporting loadReporting() {
    return switch (text(root, SettingsKeys.LOAD_REPORTING, SettingsKeys.LOAD_REPORTING_MODE)) {
      case SettingsKeys.LOAD_REPORTING_WITH_ANSWERS -> Settings.LoadReporting.WITH_ANSWERS;
      case SettingsKeys.LOAD_REPORTING_WITH_HEALTH_CHECKS ->
          Settings.LoadReporting.WITH_HEALTH_CHECKS;
      default -> Settings.LoadReporting.NONE;
    };
  }
}
