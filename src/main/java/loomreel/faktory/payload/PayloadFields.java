package loomreel.faktory.payload;

/** The names in job payloads that clients and workers know. */
final class PayloadFields {
  static final String JID = "jid";
  static final String JOB_TYPE = "jobtype";
  static final String QUEUE = "queue";
  static final String ARGS = "args";
  static final String PRIORITY = "priority";
  static final String RETRY = "retry";
  static final String AT = "at";

  /** The duration for which a fetched job is reserved for its worker, in seconds. */
  static final String RESERVE_FOR = "reserve_for";

  /** The object with the fields that follow. */
  static final String CUSTOM = "custom";

  static final String TENANT = "tenant";
  static final String KEY = "key";
  static final String SLOTS = "slots";
  static final String COST_MICROS = "cost_us";
  static final String DEADLINE = "deadline";

  /** For workers: the jid of the client, as {@link #JID} is the id of the attempt. */
  static final String CLIENT_JID = "client_jid";

  /** For workers: the name of the request class. */
  static final String CLASS = "class";

  /** For workers: the time until the attempt's deadline, in milliseconds. */
  static final String BUDGET_MILLIS = "budget_ms";

  /** For workers, of the argument that stands for an HTTP request: its target. */
  static final String TARGET = "target";

  /** For workers, of the argument that stands for an HTTP request: its body. */
  static final String BODY = "body";

  /** The queue of a job that names none. */
  static final String DEFAULT_QUEUE = "default";

  /** Stands in the settings for every queue that they do not name. */
  static final String ANY_QUEUE = "*";

  private PayloadFields() {}
}
