package loomreel.config;

/**
 * The field names and values in the platform's JSON configuration and its {@code settings} object.
 * Each constant is named after its meaning in this program, and its name ends in the unit of the
 * value if there is one.
 */
final class SettingsKeys {
  // Fields of the process configuration.
  static final String DISPATCHER_NAME = "name";
  static final String LISTEN_ADDRESS = "listen";
  static final String ADMIN_ADDRESS = "mgmt";
  static final String DISCOVERY_ADDRESS = "discovery";
  static final String SEED = "seed";
  static final String INITIAL_ENDPOINTS = "known";
  static final String SETTINGS = "settings";

  // Fields of the resources of the process.
  static final String RESOURCES = "limits";
  static final String MAX_DESCRIPTORS = "sockets";
  static final String MEMORY_MEBIBYTES = "memory_mb";

  // Fields and values of the deployment.
  static final String DISPATCHERS = "Balancers";
  static final String ZONE = "Locality";
  static final String TICK_SECONDS = "TickS";
  static final String DISCOVERY_MODE = "Discovery";
  static final String DISCOVERY_MODE_POLL = "ask";
  static final String WEIGHTS = "Weights";
  static final String WEIGHTS_CHANGING = "live";
  static final String CLIENTS = "Callers";
  static final String CLIENTS_MARK_RETRIES = "MarksRetry";
  static final String LOAD_REPORTING = "Telemetry";
  static final String LOAD_REPORTING_MODE = "How";
  static final String LOAD_REPORTING_WITH_ANSWERS = "answers";
  static final String LOAD_REPORTING_WITH_HEALTH_CHECKS = "probe";

  // Fields and values of the request classes.
  static final String REQUEST_CLASSES = "RequestClasses";
  static final String CLASS_NAME = "Name";
  static final String LATENCY_OBJECTIVE_SECONDS = "TargetS";
  static final String LATENCY_OBJECTIVE_PER_WORK = "AimStretch";
  static final String DEADLINE_SECONDS = "DeadlineS";
  static final String PRIORITY_WEIGHT = "Value";
  static final String LATE_PRIORITY_FRACTION = "LateValue";
  static final String IDEMPOTENCY = "Repeat";
  static final String IDEMPOTENT = "free";
  static final String KEYED = "guarded";
  static final String NON_IDEMPOTENT = "single_shot";
  static final String DEDUPLICATION_SCOPE = "Group";
  static final String DEDUPLICATION_SCOPE_ALL = "all";
  static final String DEDUPLICATION_SCOPE_ZONE = "zone";
  static final String DEDUPLICATION_SCOPE_FAILURE_DOMAIN = "cell";
  static final String DEDUPLICATION_WINDOW_SECONDS = "WindowS";

  // Fields of the tenants.
  static final String TENANTS = "Tenants";
  static final String TENANT_NAME = "Name";
  static final String QUOTA_PER_SECOND = "AllowancePerS";

  // Fields of further settings. Those of the classes are lists in the order of the classes.
  static final String EXTENSIONS = "Specifics";
  static final String REPORTS_JOB_START = "TellsStart";
  static final String CLASS_PRIORITIES = "ClassPriority";
  static final String CLASS_LATENCY_OBJECTIVES_PER_WORK = "ClassStretch";
  static final String CLASS_WORKER_KINDS = "ClassKind";
  static final String WORKER_KINDS = "HostTypes";

  // Fields of the rules that each dispatcher must follow.
  static final String RULES = "Invariants";
  static final String DRAIN_GRACE_SECONDS = "StopSendingWithinS";
  static final String POLL_INTERVAL_SECONDS = "AskWithinS";
  static final String INITIAL_CAPACITY_FRACTION = "ColdFrom";
  static final String SLOW_START_SECONDS = "ColdS";
  static final String OVERLOAD_MULTIPLE = "TipMultiple";
  static final String OVERLOAD_WINDOW_SECONDS = "FallS";
  static final String ANSWER_GRACE_SECONDS = "AnswerSlackS";

  // Fields of the limits that the deployment sets, and of what it permits.
  static final String LIMITS = "PolicyLimits";
  static final String MAX_ATTEMPTS = "MaxAttempts";
  static final String HEDGING = "SecondCopies";
  static final String CANCELLATION = "Cancelling";
  static final String HEALTH_CHECKS = "Probing";
  static final String RETRY_AFTER = "RetryAfter";
  static final String MAX_RETRY_AFTER_SECONDS = "MaxRetryAfterS";
  static final String CONNECT_TIMEOUT_SECONDS = "ConnectTimeoutS";
  static final String IDLE_TIMEOUT_SECONDS = "ConnIdleS";

  private SettingsKeys() {}
}
