package loomreel.program.harness;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A request class of a configuration.
 *
 * @param latencyObjectiveSeconds also the deadline, unless that is given
 * @param stretch how many times its own work a job may take beyond the objective; 0 for the default
 * @param deduplicationWindowSeconds how long workers recognise keyed work; 0 for other work
 */
public record RequestClass(
    String name,
    Idempotency idempotency,
    double latencyObjectiveSeconds,
    double deadlineSeconds,
    double stretch,
    int priorityWeight,
    double deduplicationWindowSeconds) {
  private static final double DEADLINE_SECONDS = 20;

  /** Whether a job may run twice, with its name in a configuration. */
  public enum Idempotency {
    IDEMPOTENT("free"),
    KEYED("guarded"),
    NON_IDEMPOTENT("single_shot");

    private final String settingName;

    Idempotency(String settingName) {
      this.settingName = settingName;
    }
  }

  /** The class of idempotent jobs that most tests submit. */
  public static RequestClass copy() {
    return of("copy", Idempotency.IDEMPOTENT, 5, 0);
  }

  /** The class of jobs that must not run twice. */
  public static RequestClass issue() {
    return of("issue", Idempotency.NON_IDEMPOTENT, 2, 0);
  }

  /** The class of jobs with an idempotency key. */
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

  /** The same class under another name. */
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

  /** The same class with another latency objective. */
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

  /** Writes the members of the class in a configuration. */
  void writeTo(ObjectNode json) {
    json.put("Name", name)
        .put("TargetS", latencyObjectiveSeconds)
        .put("DeadlineS", deadlineSeconds)
        .put("Repeat", idempotency.settingName)
        .put("Value", priorityWeight);
    if (stretch > 0) {
      json.put("AimStretch", stretch);
    }
    if (idempotency == Idempotency.KEYED) {
      json.put("Group", "zone").put("WindowS", deduplicationWindowSeconds);
    }
  }
}
