package loomreel.faktory.queue;

/**
 * What the payload of a job specifies, completed with defaults of the settings.
 *
 * @param jid the client's id of the job
 * @param queue the queue that it was pushed to
 * @param type the jobtype
 * @param requestClass position of its class in the settings
 * @param tenant position of its tenant in the settings, or -1 for none
 * @param key the data that a worker needs for it, which it may have cached; null for none
 * @param slots how many slots of a worker it occupies
 * @param work its cost in microseconds at speed 1, or NaN where it is not known
 * @param priority 1 to 9, the highest first
 * @param retry how many failures are followed by a retry; with 0 a dead job is not retained either,
 *     -1 never retries
 * @param at earliest start, in microseconds of Unix time; 0 for at once
 * @param deadline the time after which it is not worth starting, in microseconds of Unix time;
 *     {@link Long#MAX_VALUE} for none
 */
public record JobSpec(
    String jid,
    String queue,
    String type,
    int requestClass,
    int tenant,
    String key,
    double slots,
    double work,
    int priority,
    int retry,
    long at,
    long deadline) {
  /** The specification of a job of which only the jid is known. */
  public static JobSpec of(String jid) {
    return new JobSpec(jid, "", "", 0, -1, null, 1, Double.NaN, 0, 0, 0, Long.MAX_VALUE);
  }

  /** Whether the job has a deadline of its own. */
  public boolean hasDeadline() {
    return deadline < Long.MAX_VALUE;
  }
}
