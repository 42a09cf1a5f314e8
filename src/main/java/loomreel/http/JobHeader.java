package loomreel.http;

import java.util.Locale;

/** The headers of the job protocol between clients, dispatchers and workers. */
public enum JobHeader {
  /** The id of a call: 16 hexadecimal digits. */
  CALL_ID("X-Call-Id"),
  /** The time until the deadline, in milliseconds. */
  BUDGET_MILLIS("X-Budget-Ms"),
  /** Fields of a job such as {@code slots=2}, separated by commas. */
  JOB_FIELDS("X-Call-Info"),
  /** The client's estimate of the work. */
  COST_HINT("X-Call-Cost"),
  /** The key by which jobs are sent to the same worker. */
  AFFINITY_KEY("X-Route-Hash"),
  /** The name of the tenant. */
  TENANT("X-Caller"),
  /** {@link #YES} where the client retries a job. */
  IS_RETRY("X-Again"),
  /** The key by which repetitions of a job are recognised. */
  IDEMPOTENCY_KEY("Idempotency-Key"),
  /** {@link #YES} in the response of a worker that has rejected a job without running it. */
  IS_REJECTED("X-Rejected"),
  /** A worker's load report, as text or JSON. */
  LOAD_REPORT("X-Load-Report");

  /** The value of a header that is a flag. */
  private static final String YES = "1";

  private final String fieldName;
  private final String lowerCaseName;

  JobHeader(String fieldName) {
    this.fieldName = fieldName;
    this.lowerCaseName = fieldName.toLowerCase(Locale.ROOT);
  }

  /** The value of this header in a message, or null if it is absent. */
  public String valueIn(HttpMessage message) {
    return message.header(lowerCaseName);
  }

  /** Whether this header is present and is a flag that is set. */
  public boolean isSetIn(HttpMessage message) {
    return YES.equals(valueIn(message));
  }

  /** The header line with a value, without its line end. */
  public String line(Object value) {
    return fieldName + ": " + value;
  }
}
