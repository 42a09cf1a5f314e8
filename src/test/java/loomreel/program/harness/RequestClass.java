package loomreel.program.harness;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A request class in the configuration of a dispatcher. The first segment of the path, in the
 * request that submits a job, is the name of the job's request class.
 *
 * @param latencyObjectiveSeconds the time, in seconds, within which a job should be answered
 * @param deadlineSeconds the time, in seconds, for which a client waits for the answer to a job,
 *     over all attempts
 * @param stretch how many microseconds the latency objective grows for each microsecond that a
 *     worker is expected to take to run the job. If the value is 0, the configuration does not
 *     contain this setting, and the dispatcher uses its default.
 * @param priorityWeight the weight of a job of this class in the order of the dispatcher's queue,
 *     as long as the job can be answered within the latency objective. The dispatcher divides the
 *     weight by the expected run time of the job, and tries to send the job with the highest
 *     quotient first.
 * @param deduplicationWindowSeconds the time, in seconds, for which workers deduplicate jobs with
 *     an idempotency key; 0 for classes without idempotency keys
 */
public record RequestClass(
    String name,
    Idempotency idempotency,
    double latencyObjectiveSeconds,
    double deadlineSeconds,
    double stretch,
    int priorityWeight,
    double deduplicationWindowSeconds) {
  /**
   * The deadline, in seconds, of the classes that {@link #copy}, {@link #issue} and {@link #hold}
   * return. The same value is also the latency objective of these classes.
   */
  private static final double DEADLINE_SECONDS = 20;

  /** Whether a job may run more than once. */
  public enum Idempotency {
    /** A job may run more than once. */
    IDEMPOTENT("free"),
    /** A job has an idempotency key. Workers deduplicate jobs that have the same key. */
    KEYED("guarded"),
    /** A job must not run more than once. */
    NON_IDEMPOTENT("single_shot");

    /** The value of the setting {@code Repeat} in a configuration. */
    private final String settingValue;

    Idempotency(String settingValue) {
      this.settingValue = settingValue;
    }
  }

  /** Returns a class of idempotent jobs, with the name copy. Most tests submit these jobs. */
  public static RequestClass copy() {
    return of("copy", Idempotency.IDEMPOTENT, 5, 0);
  }

  /** Returns a class of jobs that must not run more than once, with the name issue. */
  public static RequestClass issue() {
    return of("issue", Idempotency.NON_IDEMPOTENT, 2, 0);
  }

  /** Returns a class of jobs that have an idempotency key, with the name hold. */
  public static RequestClass hold(double deduplicationWindowSeconds) {
    return of("hold", Idempotency.KEYED, 3, deduplicationWindowSeconds);
  }

  private static RequestClass of(
      String name, Idempotency idempotency, int priorityWeight, double deduplicationWindowSeconds) {
    return new RequestClass(
        name,
        idempotency,
        DEADLINE_SECONDS,
        DEADLINE_SECONDS,
        0,
        priorityWeight,
        deduplicationWindowSeconds);
  }

  /** Returns a copy of this class with another name. */
  public RequestClass withName(String newName) {
    return new RequestClass(
        newName,
        idempotency,
        latencyObjectiveSeconds,
        deadlineSeconds,
        stretch,
        priorityWeight,
        deduplicationWindowSeconds);
  }

  /** Returns a copy of this class with another latency objective and another stretch. */
  public RequestClass withLatencyObjective(double seconds, double newStretch) {
    return new RequestClass(
        name,
        idempotency,
        seconds,
        deadlineSeconds,
        newStretch,
        priorityWeight,
        deduplicationWindowSeconds);
  }

  /** Adds the settings of this class to a JSON object in a configuration. */
  void writeTo(ObjectNode json) {
    json.put("Name", name)
        .put("TargetS", latencyObjectiveSeconds)
        .put("DeadlineS", deadlineSeconds)
        .put("Repeat", idempotency.settingValue)
        .put("Value", priorityWeight);
    if (stretch > 0) {
      json.put("AimStretch", stretch);
    }
    if (idempotency == Idempotency.KEYED) {
      json.put("Group", "zone").put("WindowS", deduplicationWindowSeconds);
    }
  }
}
