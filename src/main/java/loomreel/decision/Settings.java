package loomreel.decision;

import java.util.List;
import java.util.Objects;

/**
 * The configuration of a dispatcher, constant from its start to its stop. Times are microseconds.
 *
 * @param dispatchers how many dispatchers serve the same workers, this one included
 * @param zone where this dispatcher runs
 * @param pollsEndpoints whether the endpoint list has to be polled; otherwise it is pushed
 * @param stableWeights whether a worker's weight stays the same between lists
 * @param reportsJobStart whether workers report that a job has started
 * @param tick the least time between two events of this dispatcher
 * @param clientsMarkRetries whether clients mark their retries
 */
public record Settings(
    int dispatchers,
    String zone,
    List<RequestClass> classes,
    List<Tenant> tenants,
    Rules rules,
    Limits limits,
    boolean pollsEndpoints,
    boolean stableWeights,
    LoadReporting loadReporting,
    boolean reportsJobStart,
    long tick,
    boolean clientsMarkRetries) {
  /**
   * Starts from settings of a single dispatcher without tenants and load reports. Rules and limits
   * have no default.
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Starts from these settings. */
  public Builder toBuilder() {
    return builder()
        .dispatchers(dispatchers)
        .zone(zone)
        .classes(classes)
        .tenants(tenants)
        .rules(rules)
        .limits(limits)
        .pollsEndpoints(pollsEndpoints)
        .stableWeights(stableWeights)
        .loadReporting(loadReporting)
        .reportsJobStart(reportsJobStart)
        .tick(tick)
        .clientsMarkRetries(clientsMarkRetries);
  }

  /**
   * One class of requests.
   *
   * @param workerKind the kind of worker that it needs, or null if any will do
   * @param latencyObjectivePerWork how much the objective grows for each microsecond of the job's
   *     own work
   * @param latencyObjective an answer within this time has its full value, for a job without work
   * @param deadline how long a client waits, over all of its attempts
   * @param priorityWeight the value of an answer in time
   * @param latePriorityFraction the fraction of that value that a late answer has
   * @param deduplicationWindow how long workers recognise repetitions of keyed work, from the first
   *     attempt that may have run
   */
  public record RequestClass(
      String name,
      String workerKind,
      int priority,
      double latencyObjectivePerWork,
      long latencyObjective,
      long deadline,
      double priorityWeight,
      double latePriorityFraction,
      Idempotency idempotency,
      DeduplicationScope deduplicationScope,
      long deduplicationWindow) {}

  /**
   * A tenant.
   *
   * @param quotaPerSecond the requests that it may make, over all dispatchers, in requests per
   *     second
   */
  public record Tenant(String name, double quotaPerSecond) {}

  /**
   * The rules that every dispatcher of a platform has to follow. Times are microseconds.
   *
   * @param drainGrace for how long after the notification attempts may still be started at a
   *     draining worker
   * @param pollInterval the longest time between two polls of the endpoint list; 0 where it is
   *     pushed
   * @param initialCapacityFraction the least fraction of its capacity that a worker starts with
   * @param slowStartDuration after which a worker has its full capacity at the latest
   * @param overloadMultiple a warming worker fails if it is sent this multiple of its capacity at
   *     the time
   * @param overloadWindow for this long
   */
  public record Rules(
      long drainGrace,
      long pollInterval,
      double initialCapacityFraction,
      long slowStartDuration,
      double overloadMultiple,
      long overloadWindow) {
    /**
     * A dispatcher counts as notified of a change of the list this long after discovery had it and
     * could be reached, whether or not its polls succeeded. Microseconds.
     */
    private static final long NOTIFICATION_DEADLINE_MICROS = 6_000_000;

    /** A poll is answered within this time, or abandoned. Microseconds. */
    private static final long MAX_POLL_DURATION_MICROS = 1_500_000;

    /** The longest wait after a failed poll is at most this part of the poll interval. */
    private static final int MAX_BACKOFF_NUMERATOR = 6;

    private static final int MAX_BACKOFF_DENOMINATOR = 10;

    /**
     * The longest wait after a failed poll. Attempts at draining workers violate the rules {@link
     * #NOTIFICATION_DEADLINE_MICROS} and the grace after discovery can be reached again. Two waits and
     * two polls have to fit into that, because discovery may reject the first poll after an outage;
     * and the wait stays under the poll interval.
     *
     * @return microseconds
     */
    public long maxPollBackoff() {
      return Math.min(
          pollInterval * MAX_BACKOFF_NUMERATOR / MAX_BACKOFF_DENOMINATOR,
          (NOTIFICATION_DEADLINE_MICROS + drainGrace) / 2 - MAX_POLL_DURATION_MICROS);
    }
  }

  /**
   * What the deployment allows.
   *
   * @param maxAttempts how many attempts a request may have
   * @param hedging whether a second attempt may be open beside a first
   * @param cancellation whether attempts may be cancelled
   * @param healthChecks whether the load of workers may be queried
   * @param retryAfter whether a rejection may carry a time to retry
   * @param maxRetryAfter the longest such time, in microseconds
   */
  public record Limits(
      int maxAttempts,
      boolean hedging,
      boolean cancellation,
      boolean healthChecks,
      boolean retryAfter,
      long maxRetryAfter) {}

  /** Which responses of workers carry load reports: none, answers or those to health checks. */
  public enum LoadReporting {
    NONE,
    WITH_ANSWERS,
    WITH_HEALTH_CHECKS
  }

  /** Builds settings; what is not set has its default. */
  public static final class Builder {
    private static final long DEFAULT_TICK_MICROS = 1000;

    private int dispatchers = 1;
    private String zone = "";
    private List<RequestClass> classes = List.of();
    private List<Tenant> tenants = List.of();
    private Rules rules;
    private Limits limits;
    private boolean pollsEndpoints;
    private boolean stableWeights = true;
    private LoadReporting loadReporting = LoadReporting.NONE;
    private boolean reportsJobStart;
    private long tick = DEFAULT_TICK_MICROS;
    private boolean clientsMarkRetries;

    private Builder() {}

    /** Sets how many dispatchers serve the same workers. */
    public Builder dispatchers(int newValue) {
      dispatchers = newValue;
      return this;
    }

    /** Sets the zone where this dispatcher runs. */
    public Builder zone(String newValue) {
      zone = newValue;
      return this;
    }

    /** Sets the classes of requests. */
    public Builder classes(List<RequestClass> newValue) {
      classes = newValue;
      return this;
    }

    /** Sets the tenants. */
    public Builder tenants(List<Tenant> newValue) {
      tenants = newValue;
      return this;
    }

    /** Sets the rules, which have no default. */
    public Builder rules(Rules newValue) {
      rules = newValue;
      return this;
    }

    /** Sets the limits, which have no default. */
    public Builder limits(Limits newValue) {
      limits = newValue;
      return this;
    }

    /** Sets whether the endpoint list has to be polled. */
    public Builder pollsEndpoints(boolean newValue) {
      pollsEndpoints = newValue;
      return this;
    }

    /** Sets whether weights stay the same between lists. */
    public Builder stableWeights(boolean newValue) {
      stableWeights = newValue;
      return this;
    }

    /** Sets which responses of workers carry load reports. */
    public Builder loadReporting(LoadReporting newValue) {
      loadReporting = newValue;
      return this;
    }

    /** Sets whether workers report that a job has started. */
    public Builder reportsJobStart(boolean newValue) {
      reportsJobStart = newValue;
      return this;
    }

    /** Sets the least time between two events, in microseconds. */
    public Builder tick(long newValue) {
      tick = newValue;
      return this;
    }

    /** Sets whether clients mark their retries. */
    public Builder clientsMarkRetries(boolean newValue) {
      clientsMarkRetries = newValue;
      return this;
    }

    /**
     * The settings as set so far.
     *
     * @throws NullPointerException if the rules or the limits are not set
     */
    public Settings build() {
      Objects.requireNonNull(rules, "rules");
      Objects.requireNonNull(limits, "limits");
      return new Settings(
          dispatchers,
          zone,
          classes,
          tenants,
          rules,
          limits,
          pollsEndpoints,
          stableWeights,
          loadReporting,
          reportsJobStart,
          tick,
          clientsMarkRetries);
    }
  }
}
