package loomreel.ingress;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import loomreel.decision.Event;
import loomreel.http.HttpMessage;
import loomreel.http.JobHeader;

/**
 * The headers of a request that submits a job. {@link JobHeader} has the names of the headers. The
 * numbers in the headers are limited, because the policy adds up the numbers of all jobs: a single
 * job with a cost of 1e300 would make the cost of all other jobs negligible.
 *
 * @param callId the id of the call: 16 hexadecimal digits
 * @param budgetMillis the time until the deadline of the call, in milliseconds
 * @param slots the number of worker slots that the job occupies, from 0 to 1024; 1 if absent
 * @param costHint the client's estimate of the work; NaN, which the policy interprets as unknown,
 *     if absent
 * @param affinityKey the key by which jobs are sent to the same worker, or null if absent
 * @param tenant the name of the tenant, or null if absent
 * @param isRetry whether the client marks the job as a retry
 * @param idempotencyKey the key by which workers detect duplicates of a job, or null if absent
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

  /**
   * The maximum number of slots of a job. No machine has more slots, so a larger number is an
   * error.
   */
  private static final int MAX_SLOTS = 1024;

  private static final String SLOTS_FIELD = "slots";
  private static final double DEFAULT_SLOTS = 1;

  /**
   * Parses the headers of a request.
   *
   * @return the job, or empty if a required header is missing or a header is malformed
   */
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
   * Returns the event that reports this job to the policy. A number of slots below 1 is reported as
   * 1.
   *
   * @param requestClass the index of the request class in the settings
   * @param tenant the index of the tenant in the settings, or -1 if the tenant is unknown; the
   *     policy interprets -1 as no tenant
   * @param deadline the deadline of the call, in microseconds of the event loop's clock
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
