package loomreel.simulator;

/**
 * The names that the simulator's protocol uses for fields, kinds and values. Each constant is named
 * after what the name in the protocol means in this program.
 */
final class WireNames {
  // Fields of a batch, of its reply, and of the events and actions in them.
  static final String BATCH_NUMBER = "batch";
  static final String TIME_SECONDS = "SimTimeS";
  static final String DISPATCHERS = "parts";
  static final String DISPATCHER_NUMBER = "I";
  static final String EVENTS = "events";
  static final String ACTIONS = "out";
  static final String KIND = "kind";

  // Kinds of events.
  static final String ENDPOINT_LIST_DEFINED = "DefineList";
  static final String DISPATCHER_STARTED = "Up";
  static final String DISPATCHER_STOPPED = "Stop";
  static final String ENDPOINTS_CHANGED = "Members";
  static final String REQUEST_RECEIVED = "Inbound";
  static final String REQUEST_CANCELLED = "Withdrawn";
  static final String JOB_STARTED = "Started";
  static final String ATTEMPT_UPDATED = "UpdateOf";
  static final String ATTEMPT_COMPLETED = "ReportBack";
  static final String HEALTH_CHECK_COMPLETED = "StatusBack";
  static final String TIMER_ELAPSED = "TickDue";
  static final String COMMENT_RECEIVED = "Memo";

  // Kinds of actions.
  static final String START_ATTEMPT = "Issue";
  static final String CANCEL_ATTEMPT = "Abandon";
  static final String REJECT_REQUEST = "Refuse";
  static final String FAIL_REQUEST = "RespondError";
  static final String CHECK_HEALTH = "HealthCheck";
  static final String SET_TIMER = "Remind";
  static final String POLL_ENDPOINTS = "Observe";
  static final String LOG = "Remark";
  static final String POLICY_FAILED = "Fatal";

  // Fields of several kinds of events and actions.
  static final String REQUEST_ID = "MsgId";
  static final String WORKER_ID = "Executor";
  static final String ATTEMPT_NUMBER = "Leg";
  static final String OUTCOME = "How";
  static final String DURATION_SECONDS = "TookS";
  static final String LOAD_REPORT = "Usage";
  static final String ENDPOINT_LIST_ID = "RosterId";
  static final String TIMER_TOKEN = "KeyBack";
  static final String TEXT = "Words";

  // Fields of DISPATCHER_STARTED.
  static final String SEED = "Nonce64";
  static final String SETTINGS = "Setup";

  // A field of ENDPOINTS_CHANGED, and its possible values.
  static final String SCOPE = "Scope";
  static final String SCOPE_WATCH_LOST = "lost";
  static final String SCOPE_UPDATE = "incr";
  static final String SCOPE_SNAPSHOT = "total";
  static final String SCOPE_CACHED_SNAPSHOT = "warm_copy";

  // Fields of REQUEST_RECEIVED.
  static final String KEY = "Resource";
  static final String SLOTS = "CoresNeeded";
  static final String REQUEST_CLASS = "Type";
  static final String TENANT = "Owner";
  static final String DEADLINE_SECONDS = "DueS";
  static final String REQUEST_FLAGS = "Marks";
  static final String EXPECTED_WORK_SECONDS = "WeightHintS";

  // UPDATE_TYPE is a field of ATTEMPT_UPDATED. ANSWERED is a field of ATTEMPT_COMPLETED.
  static final String UPDATE_TYPE = "Sort";
  static final String ANSWERED = "Finished";

  // Fields of a load report.
  static final String QUEUED_JOBS = "depth";
  static final String ACTIVE_JOBS = "concurrent";
  static final String UTILIZATION = "load_share";
  static final String FREE_SLOTS = "x0";

  // A field of an endpoint list, the fields of an endpoint, and the possible values of STATE.
  static final String ENDPOINTS = "Items";
  static final String ZONE = "Az";
  static final String WORKER_KIND = "Kind";
  static final String FAILURE_DOMAIN = "Pod";
  static final String STARTED_AT_SECONDS = "CameUpS";
  static final String WEIGHT = "Scale";
  static final String STATE = "Health";
  static final String READY = "live";
  static final String DRAINING = "quiescing";
  static final String REMOVED = "dead";

  // Fields of actions.
  static final String TIMEOUT_SECONDS = "CapS";
  static final String RETRY_AFTER_SECONDS = "HoldOffS";
  static final String TIMER_TIME_SECONDS = "AlarmTimeS";
  static final String POLL_REQUESTED = "Want";

  private WireNames() {}
}
