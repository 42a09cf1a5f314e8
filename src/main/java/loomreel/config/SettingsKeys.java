package loomreel.config;

/**
 * The field names and values in the platform's JSON configuration. Each constant has the name that
 * this program uses for the field or value. If the value of a field has a unit, the name of the
 * constant ends in this unit.
 */
final class SettingsKeys {
  // Fields of the root object.
  static final String DISPATCHER_NAME = "name";
  static final String LISTEN_ADDRESS = "listen";
  static final String ADMIN_ADDRESS = "mgmt";
  static final String DISCOVERY_ADDRESS = "discovery";
  static final String SEED = "seed";
  static final String INITIAL_ENDPOINTS = "known";
  static final String SETTINGS = "settings";

  // RESOURCES, a field of the root object, is an object with the resources of the process. The
  // other constants of this section are its fields.
  static final String RESOURCES = "limits";
  static final String MAX_DESCRIPTORS = "sockets";
  static final String MEMORY_MEBIBYTES = "memory_mb";

  // Fields of the settings object, and values of these fields. Two of the fields are objects:
  // CLIENTS_MARK_RETRIES is a field of CLIENTS, and LOAD_REPORTING_MODE is a field of
  // LOAD_REPORTING.
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

  // REQUEST_CLASSES, a field of the settings object, is the list of request classes. The other
  // constants of this section are the fields of a request class, and values of these fields.
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

  // TENANTS, a field of the settings object, is the list of tenants. The other constants of this
  // section are the fields of a tenant.
  static final String TENANTS = "Tenants";
  static final String TENANT_NAME = "Name";
  static final String QUOTA_PER_SECOND = "AllowancePerS";

  // EXTENSIONS, a field of the settings object, is an object with further settings. The other
  // constants of this section are its fields, except WORKER_KINDS, which is a field of the settings
  // object itself. The fields CLASS_PRIORITIES, CLASS_LATENCY_OBJECTIVES_PER_WORK and
  // CLASS_WORKER_KINDS are lists. An element of these lists applies to the request class at the
  // same position in REQUEST_CLASSES.
  static final String EXTENSIONS = "Specifics";
  static final String REPORTS_JOB_START = "TellsStart";
  static final String CLASS_PRIORITIES = "ClassPriority";
  static final String CLASS_LATENCY_OBJECTIVES_PER_WORK = "ClassStretch";
  static final String CLASS_WORKER_KINDS = "ClassKind";
  static final String WORKER_KINDS = "HostTypes";

  // RULES, a field of the settings object, is an object with the rules that each dispatcher must
  // follow. The other constants of this section are its fields.
  static final String RULES = "Invariants";
  static final String DRAIN_GRACE_SECONDS = "StopSendingWithinS";
  static final String POLL_INTERVAL_SECONDS = "AskWithinS";
  static final String INITIAL_CAPACITY_FRACTION = "ColdFrom";
  static final String SLOW_START_SECONDS = "ColdS";
  static final String OVERLOAD_MULTIPLE = "TipMultiple";
  static final String OVERLOAD_WINDOW_SECONDS = "FallS";
  static final String ANSWER_GRACE_SECONDS = "AnswerSlackS";

  // LIMITS, a field of the settings object, is an object with the limits that the deployment sets
  // and the features that the deployment permits. The other constants of this section are its
  // fields.
  static final String LIMITS = "PolicyLimits";
  static final String MAX_ATTEMPTS = "MaxAttempts";
  static final String HEDGING = "SecondCopies";
  static final String CANCELLATION = "Cancelling";
  static final String HEALTH_CHECKS = "Probing";
  static final String RETRY_AFTER_PERMITTED = "RetryAfter";
  static final String MAX_RETRY_AFTER_SECONDS = "MaxRetryAfterS";
  static final String CONNECT_TIMEOUT_SECONDS = "ConnectTimeoutS";
  static final String IDLE_TIMEOUT_SECONDS = "ConnIdleS";

  private SettingsKeys() {}
}
