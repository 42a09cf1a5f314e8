package loomreel.decision;

import java.util.List;
import java.util.Objects;

/**
 * The configuration of a dispatcher, which does not change between its start and its stop. All
 * times and durations are in microseconds.
 *
 * @param dispatchers the number of dispatchers that serve the same workers, including this one
 * @param zone the zone in which this dispatcher runs
 * @param classes the request classes; events refer to a class by its position in this list
 * @param tenants the tenants; events refer to a tenant by its position in this list
 * @param rules the rules that the platform sets for every dispatcher
 * @param limits the limits that the deployment sets for this dispatcher
 * @param pollsEndpoints whether the dispatcher has to poll the endpoint list; if not, the list is
 *     pushed
 * @param stableWeights whether the weight of a worker stays the same between endpoint lists
 * @param loadReporting which responses of workers include load reports
 * @param reportsJobStart whether workers report that a job has started
 * @param tick the nominal minimum time between two events of this dispatcher; the policy also
 *     accepts events that follow each other sooner, and uses the tick as the unit of short
 *     intervals, such as the margins before deadlines and the minimum timeouts
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
   * Returns a builder with the default settings: a single dispatcher, no tenants and no load
   * reports. Rules and limits have no default.
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a builder that is initialized with these settings. */
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
   * A class of requests. The latency objective of a request consists of a part for every job,
   * {@code latencyObjective}, and a part that grows with the work of the job. An answer has a
   * value, from which the priority of a queued request is computed.
   *
   * @param workerKind the kind of worker that the class needs; null if every worker may run its
   *     jobs
   * @param priority the configured priority, which the decision module does not use
   * @param latencyObjectivePerWork the time that is added to the latency objective for each unit of
   *     the job's work; times and work are in the same unit
   * @param latencyObjective the latency objective of a job without work
   * @param deadline the total time that a client waits for an answer, including its retries
   * @param priorityWeight the value of an answer that meets the latency objective
   * @param latePriorityFraction the value of an answer that does not meet the latency objective, as
   *     a fraction of {@code priorityWeight}
   * @param deduplicationWindow the time during which workers recognize repetitions of a keyed
   *     request, counted from the send of the first attempt that may have run
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
   * @param quotaPerSecond the number of requests per second that the tenant may send to all
   *     dispatchers together
   */
  public record Tenant(String name, double quotaPerSecond) {}

  /**
   * The rules of a platform, which every dispatcher has to follow. All times and durations are in
   * microseconds.
   *
   * @param drainGrace the time during which attempts may still be started at a draining worker,
   *     counted from the time at which the dispatcher is notified that the worker drains
   * @param pollInterval the maximum time between two polls of the endpoint list; 0 if the list is
   *     pushed
   * @param initialCapacityFraction the minimum capacity of a worker when it starts, as a fraction
   *     of its full capacity
   * @param slowStartDuration the maximum time from the start of a worker until it has its full
   *     capacity
   * @param overloadMultiple the overload limit of a warming worker, as a multiple of its current
   *     capacity; the worker fails if the work that it receives over {@code overloadWindow} reaches
   *     this limit
   * @param overloadWindow the time over which the work that a warming worker receives is compared
   *     with its capacity
   */
  public record Rules(
      long drainGrace,
      long pollInterval,
      double initialCapacityFraction,
      long slowStartDuration,
      double overloadMultiple,
      long overloadWindow) {
    /**
     * The maximum time, in microseconds, until a dispatcher counts as notified of a change of the
     * endpoint list. The time begins when discovery has the change and can be reached. The
     * dispatcher counts as notified at the end of this time, even if its polls have failed.
     */
    private static final long NOTIFICATION_DEADLINE_MICROS = 6_000_000;

    /**
     * The maximum duration of a poll, in microseconds. A poll that is not answered within this time
     * is abandoned.
     */
    private static final long MAX_POLL_DURATION_MICROS = 1_500_000;

    /**
     * The maximum wait after a failed poll is limited to a fraction of the poll interval. This is
     * the numerator of the fraction.
     */
    private static final int MAX_BACKOFF_NUMERATOR = 6;

    /** The denominator of the fraction of which {@link #MAX_BACKOFF_NUMERATOR} is the numerator. */
    private static final int MAX_BACKOFF_DENOMINATOR = 10;

    /**
     * Returns the maximum wait after a failed poll, in microseconds. The wait is shorter than the
     * poll interval.
     *
     * <p>The wait is also limited by the rules for draining workers. Once discovery can be reached
     * again after an outage, the time in which attempts at draining workers are allowed is {@link
     * #NOTIFICATION_DEADLINE_MICROS} plus the drain grace. Later attempts violate the rules. Two
     * waits and two polls have to fit into that time, because discovery may reject the first poll
     * after an outage.
     */
    public long maxPollBackoff() {
      return Math.min(
          pollInterval * MAX_BACKOFF_NUMERATOR / MAX_BACKOFF_DENOMINATOR,
          (NOTIFICATION_DEADLINE_MICROS + drainGrace) / 2 - MAX_POLL_DURATION_MICROS);
    }
  }

  /**
   * The limits that the deployment sets.
   *
   * @param maxAttempts the maximum number of attempts of a request
   * @param hedging whether an attempt may be started while another attempt of the same request is
   *     open
   * @param cancellation whether attempts may be cancelled
   * @param healthChecks whether health checks may be sent to workers
   * @param retryAfter whether a rejection may name a time to wait before a retry
   * @param maxRetryAfter the maximum time that a rejection may name, in microseconds
   */
  public record Limits(
      int maxAttempts,
      boolean hedging,
      boolean cancellation,
      boolean healthChecks,
      boolean retryAfter,
      long maxRetryAfter) {}

  /**
   * The responses of workers that include load reports: none, the answers to attempts, or the
   * answers to health checks.
   */
  public enum LoadReporting {
    NONE,
    WITH_ANSWERS,
    WITH_HEALTH_CHECKS
  }

  /** A builder of settings. Rules and limits must be set. Every other setting has a default. */
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

    /** Sets the number of dispatchers that serve the same workers, including this one. */
    public Builder dispatchers(int newValue) {
      dispatchers = newValue;
      return this;
    }

    /** Sets the zone in which this dispatcher runs. */
    public Builder zone(String newValue) {
      zone = newValue;
      return this;
    }

    /** Sets the request classes. */
    public Builder classes(List<RequestClass> newValue) {
      classes = newValue;
      return this;
    }

    /** Sets the tenants. */
    public Builder tenants(List<Tenant> newValue) {
      tenants = newValue;
      return this;
    }

    /** Sets the rules of the platform. They must be set, because they have no default. */
    public Builder rules(Rules newValue) {
      rules = newValue;
      return this;
    }

    /** Sets the limits of the deployment. They must be set, because they have no default. */
    public Builder limits(Limits newValue) {
      limits = newValue;
      return this;
    }

    /** Sets whether the dispatcher has to poll the endpoint list; if not, the list is pushed. */
    public Builder pollsEndpoints(boolean newValue) {
      pollsEndpoints = newValue;
      return this;
    }

    /** Sets whether the weight of a worker stays the same between endpoint lists. */
    public Builder stableWeights(boolean newValue) {
      stableWeights = newValue;
      return this;
    }

    /** Sets which responses of workers include load reports. */
    public Builder loadReporting(LoadReporting newValue) {
      loadReporting = newValue;
      return this;
    }

    /** Sets whether workers report that a job has started. */
    public Builder reportsJobStart(boolean newValue) {
      reportsJobStart = newValue;
      return this;
    }

    /**
     * Sets the nominal minimum time between two events of the dispatcher, in microseconds. The
     * policy also uses this time as the unit of short intervals.
     */
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
     * Returns settings with the values that were set so far.
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
