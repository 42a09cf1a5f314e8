package loomreel.http;

import java.util.Locale;

/** The HTTP headers of the job protocol between clients, dispatchers and workers. */
public enum JobHeader {
  /** The id of a call: 16 hexadecimal digits. */
  CALL_ID("X-Call-Id"),
  /** The time until the deadline, in milliseconds. */
  BUDGET_MILLIS("X-Budget-Ms"),
  /** The fields of a job, such as {@code slots=2}, separated by commas. */
  JOB_FIELDS("X-Call-Info"),
  /** The client's estimate of the work that the job causes. */
  COST_HINT("X-Call-Cost"),
  /** The affinity key: jobs with the same key are sent to the same worker if possible. */
  AFFINITY_KEY("X-Route-Hash"),
  /** The name of the tenant that the job belongs to. */
  TENANT("X-Caller"),
  /** {@link #YES} if the client retries a job. */
  IS_RETRY("X-Again"),
  /** The idempotency key, by which repetitions of a job are recognized. */
  IDEMPOTENCY_KEY("Idempotency-Key"),
  /** {@link #YES} in the response of a worker that has rejected a job without running it. */
  IS_REJECTED("X-Rejected"),
  /** A worker's load report, as text or JSON. */
  LOAD_REPORT("X-Load-Report");

  /** The value of a flag header that is set. */
  private static final String YES = "1";

  private final String fieldName;
  private final String lowerCaseName;

  JobHeader(String fieldName) {
    this.fieldName = fieldName;
    this.lowerCaseName = fieldName.toLowerCase(Locale.ROOT);
  }

  /** Returns the value of this header in a message, or null if it is absent. */
  public String valueIn(HttpMessage message) {
    return message.header(lowerCaseName);
  }

  /** Returns whether this header is present in a message and is a flag that is set. */
  public boolean isSetIn(HttpMessage message) {
    return YES.equals(valueIn(message));
  }

  /** Returns the header line with a value, without its line end. */
  public String line(Object value) {
    return fieldName + ": " + value;
  }
}
