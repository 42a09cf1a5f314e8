package loomreel.ingress;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import loomreel.decision.Event;
import loomreel.http.HttpMessage;
import loomreel.http.JobHeader;

/**
 * The headers of a request that submits a job; {@link JobHeader} has their names. Their values are
 * bounded, because the policy adds them up: one job of cost 1e300 would drown all others in its
 * sums.
 *
 * @param callId 16 hexadecimal digits
 * @param budgetMillis the time until the deadline
 * @param slots the worker slots that the job occupies, 1 if absent
 * @param costHint the client's estimate of the work, NaN if absent, as the policy expects it
 * @param affinityKey the key by which jobs are sent to the same worker, or null
 * @param tenant the tenant's name, or null
 * @param isRetry whether the client retries the job
 * @param idempotencyKey the key by which repetitions are recognised, or null
 */
record JobRequest(
    String callId,
    long budgetMillis,
    double slots,
    double costHint,
    String affinityKey,
    String tenant,
    boolean isRetry,
    String idempotencyKey) {
  private static final Pattern CALL_ID = Pattern.compile("[0-9a-fA-F]{16}");
  private static final Pattern BUDGET_MILLIS = Pattern.compile("[0-9]{1,9}");
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,10}(\\.[0-9]{1,10})?");

  /** No machine has more slots; a job that asks for more is a mistake. */
  private static final int MAX_SLOTS = 1024;

  private static final String SLOTS_FIELD = "slots";
  private static final double DEFAULT_SLOTS = 1;

  /** Reads the headers of a request; empty if one is missing or malformed. */
  static Optional<JobRequest> parse(HttpMessage message) {
    String callId = JobHeader.CALL_ID.valueIn(message);
    String budget = JobHeader.BUDGET_MILLIS.valueIn(message);
    OptionalDouble slots = parseSlots(JobHeader.JOB_FIELDS.valueIn(message));
    OptionalDouble costHint = parseCostHint(JobHeader.COST_HINT.valueIn(message));
    if (!matches(CALL_ID, callId)
        || !matches(BUDGET_MILLIS, budget)
        || slots.isEmpty()
        || costHint.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new JobRequest(
            callId,
            Long.parseLong(budget),
            slots.getAsDouble(),
            costHint.getAsDouble(),
            JobHeader.AFFINITY_KEY.valueIn(message),
            JobHeader.TENANT.valueIn(message),
            JobHeader.IS_RETRY.isSetIn(message),
            JobHeader.IDEMPOTENCY_KEY.valueIn(message)));
  }

  /**
   * The event that notifies the policy of this job.
   *
   * @param requestClass the index of its class in the settings
   * @param tenant the index of its tenant in the settings, -1 if unknown, as the policy expects it
   * @param deadline in microseconds of the event loop's clock
   */
  Event.RequestArrived toEvent(int requestClass, int tenant, long deadline) {
    return new Event.RequestArrived(
        callId,
        affinityKey,
        Math.max(DEFAULT_SLOTS, slots),
        requestClass,
        tenant,
        deadline,
        isRetry,
        costHint,
        null,
        idempotencyKey != null);
  }

  private static boolean matches(Pattern pattern, String text) {
    return text != null && pattern.matcher(text).matches();
  }

  private static OptionalDouble parseSlots(String jobFields) {
    if (jobFields == null) {
      return OptionalDouble.of(DEFAULT_SLOTS);
    }
    for (String field : jobFields.split(",", -1)) {
      String[] nameAndValue = field.strip().split("=", 2);
      if (nameAndValue.length == 2 && nameAndValue[0].equals(SLOTS_FIELD)) {
        OptionalDouble slots = parseDecimal(nameAndValue[1]);
        boolean excessive = slots.isPresent() && slots.getAsDouble() > MAX_SLOTS;
        return excessive ? OptionalDouble.empty() : slots;
      }
    }
    return OptionalDouble.of(DEFAULT_SLOTS);
  }

  private static OptionalDouble parseCostHint(String cost) {
    return cost == null ? OptionalDouble.of(Double.NaN) : parseDecimal(cost);
  }

  private static OptionalDouble parseDecimal(String text) {
    return matches(DECIMAL, text)
        ? OptionalDouble.of(Double.parseDouble(text))
        : OptionalDouble.empty();
  }
}
