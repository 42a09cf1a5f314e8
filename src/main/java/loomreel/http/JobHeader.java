package loomreel.http;

import java.util.Locale;

/** The HTTP headers of the job protocol between clients, dispatchers and workers. */
public enum JobHeader {
  /**
   * The id of the call. The id consists of 16 hexadecimal digits. A call is one request of a client
   * to run a job. All attempts of a call have the same id. If the client retries the job, the retry
   * is another call with another id.
   */
  CALL_ID("X-Call-Id"),
  /**
   * The time until a deadline, in milliseconds. In a request of a client, this is the deadline of
   * the call. In a request to a worker, this is the deadline of the attempt.
   */
  BUDGET_MILLIS("X-Budget-Ms"),
  /**
   * Properties of the job in the form {@code name=value}, separated by commas. The dispatcher reads
   * {@code slots}, the number of worker slots that the job occupies, and ignores other properties.
   */
  JOB_FIELDS("X-Call-Info"),
  /** The client's estimate of the work that the job requires. */
  COST_HINT("X-Call-Cost"),
  /** The affinity key: jobs with the same key are sent to the same worker if possible. */
  AFFINITY_KEY("X-Route-Hash"),
  /** The name of the tenant that the job belongs to. */
  TENANT("X-Caller"),
  /** {@code 1} if the client sends the job again as a retry. */
  IS_RETRY("X-Again"),
  /** The idempotency key. Workers detect repetitions of a job by this key. */
  IDEMPOTENCY_KEY("Idempotency-Key"),
  /** {@code 1} in a worker's response if the worker has rejected the job and has not run it. */
  IS_REJECTED("X-Rejected"),
  /** The load report of a worker, in a response of the worker, as text or JSON. */
  LOAD_REPORT("X-Load-Report");

  /** The value that sets a header that is a flag, such as {@link #IS_RETRY}. */
  private static final String YES = "1";

  private final String fieldName;
  private final String lowerCaseName;

  JobHeader(String fieldName) {
    this.fieldName = fieldName;
    this.lowerCaseName = fieldName.toLowerCase(Locale.ROOT);
  }

  /** Returns the name of this header in lower case. */
  String lowerCaseName() {
    return lowerCaseName;
  }

  /** Returns the value of this header in a message, or null if the message has no such header. */
  public String valueIn(HttpMessage message) {
    return message.header(lowerCaseName);
  }

  /** Returns whether a message has this header with the value {@code 1}. */
  public boolean isSetIn(HttpMessage message) {
    return YES.equals(valueIn(message));
  }

  /** Returns the line that sets this header to the given value, without the line end. */
  public String line(Object value) {
    return fieldName + ": " + value;
  }
}
