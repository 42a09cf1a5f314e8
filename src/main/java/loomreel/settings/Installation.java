package loomreel.settings;

import java.net.InetSocketAddress;
import java.util.Map;
import loomreel.settings.cue.Key;

/**
 * An installation's settings with defaults filled in; {@code installation.cue} documents each key.
 * A field that is absent from the file is null.
 *
 * @param name the dispatcher's name
 * @param zone where the dispatcher runs
 * @param dispatchers how many dispatchers serve the same workers, this one included
 * @param listeners the addresses to listen on
 * @param discoveryAddress where the endpoint list comes from, or null if {@code workers} has all
 * @param workers the workers by their ids
 * @param jobClasses the classes of jobs by name, in the order in which a job is matched
 * @param tenants the tenants by name
 * @param limits what the dispatcher may do, and its resources
 * @param workerRules the rules on draining and warming workers
 * @param network the network between the dispatcher and its workers
 * @param faktory Faktory's section, or null if Faktory is off
 */
public record Installation(
    @Key("name") String name,
    @Key("site") String zone,
    @Key("dispatchers") int dispatchers,
    @Key("listen") Listeners listeners,
    @Key("discovery") InetSocketAddress discoveryAddress,
    @Key("workers") Map<String, Worker> workers,
    @Key("classes") Map<String, JobClass> jobClasses,
    @Key("tenants") Map<String, Tenant> tenants,
    @Key("limits") Limits limits,
    @Key("rules") WorkerRules workerRules,
    @Key("network") Network network,
    @Key("faktory") FaktorySettings faktory) {
  /** The addresses to listen on; the administrators' is null where there is none. */
  public record Listeners(
      @Key("http") InetSocketAddress httpAddress,
      @Key("operators") InetSocketAddress adminAddress) {}

  /**
   * A worker that is called over HTTP.
   *
   * @param address where it listens
   * @param zone where it runs
   * @param kind what kind of jobs it runs; may be empty
   * @param failureDomain a part of the zone, or -1
   * @param weight its fraction of the keys relative to the weights of other workers
   */
  public record Worker(
      @Key("address") InetSocketAddress address,
      @Key("site") String zone,
      @Key("kind") String kind,
      @Key("block") int failureDomain,
      @Key("weight") double weight) {}

  /** Whether a job may be attempted again after an attempt that may have run. */
  public enum Idempotency {
    /** Always. */
    @Key("free")
    IDEMPOTENT,
    /** Among workers that deduplicate by the job's idempotency key. */
    @Key("guarded")
    KEYED,
    /** Never. */
    @Key("single_shot")
    NON_IDEMPOTENT
  }

  /** The workers that deduplicate the repetitions of a keyed job together. */
  public enum DeduplicationScope {
    @Key("all")
    ALL,
    @Key("zone")
    ZONE,
    @Key("cell")
    FAILURE_DOMAIN
  }

  /**
   * The objectives and rules of a class of jobs.
   *
   * @param idempotency whether a job may be attempted again
   * @param deduplicationScope the workers that deduplicate a keyed job together
   * @param deduplicationWindow for how long they do
   * @param latencyObjective an answer within this time has its full weight, for a job without work
   * @param latencyObjectivePerWork how much the objective grows for each microsecond of the job's
   *     own work
   * @param deadline how long a client waits, over all attempts
   * @param priorityWeight the weight of an answer within the objective
   * @param latePriorityFraction the fraction of that weight that a late answer has
   * @param priority a higher one is served first
   * @param workerKind the kind of worker that runs these jobs; empty if any does
   */
  public record JobClass(
      @Key("repeat") Idempotency idempotency,
      @Key("group") DeduplicationScope deduplicationScope,
      @Key("window") Micros deduplicationWindow,
      @Key("target") Micros latencyObjective,
      @Key("stretch") double latencyObjectivePerWork,
      @Key("deadline") Micros deadline,
      @Key("worth") double priorityWeight,
      @Key("late_worth") double latePriorityFraction,
      @Key("priority") int priority,
      @Key("kind") String workerKind) {}

  /** A tenant and its quota, in requests a second over all dispatchers. */
  public record Tenant(@Key("allowance") double quotaPerSecond) {}

  /**
   * What the dispatcher may do, and its resources.
   *
   * @param maxAttempts how many attempts a request may have
   * @param hedging whether a second attempt may be open beside a first
   * @param cancellation whether attempts may be cancelled
   * @param healthChecks whether workers may be queried for their load
   * @param retryAfter whether a rejection may say when to retry
   * @param maxRetryAfter the longest such time
   * @param memory how much memory the process may use
   * @param maxDescriptors how many file descriptors it may use
   */
  public record Limits(
      @Key("attempts") int maxAttempts,
      @Key("second_copies") boolean hedging,
      @Key("cancelling") boolean cancellation,
      @Key("probing") boolean healthChecks,
      @Key("hold_off") boolean retryAfter,
      @Key("max_hold_off") Micros maxRetryAfter,
      @Key("memory") Size memory,
      @Key("descriptors") int maxDescriptors) {}

  /**
   * The rules on draining and warming workers.
   *
   * @param drainGrace how long attempts may start on a worker after it is listed as draining
   * @param pollInterval the longest time between two polls of discovery
   * @param initialCapacityFraction the fraction of its capacity that a worker starts with
   * @param slowStartDuration after which a worker has its full capacity at the latest
   * @param overloadMultiple a warming worker fails that is sent this multiple of its capacity
   * @param overloadWindow for this long
   */
  public record WorkerRules(
      @Key("stop_sending_within") Micros drainGrace,
      @Key("ask_within") Micros pollInterval,
      @Key("cold_from") double initialCapacityFraction,
      @Key("cold_for") Micros slowStartDuration,
      @Key("tip_multiple") double overloadMultiple,
      @Key("fall_within") Micros overloadWindow) {}

  /** Where workers report their load. */
  public enum LoadReporting {
    @Key("none")
    NONE,
    @Key("answers")
    WITH_ANSWERS,
    @Key("probes")
    WITH_HEALTH_CHECKS
  }

  /**
   * The network between the dispatcher and its workers.
   *
   * @param connectTimeout how long a connection to a worker may take to be established
   * @param idleTimeout how long a worker keeps an idle connection open
   * @param loadReporting where workers report their load
   * @param reportsJobStart whether workers report that a job has started
   */
  public record Network(
      @Key("connect_within") Micros connectTimeout,
      @Key("idle_for") Micros idleTimeout,
      @Key("reports") LoadReporting loadReporting,
      @Key("tells_start") boolean reportsJobStart) {}
}
