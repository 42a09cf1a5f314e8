package loomreel.server;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loomreel.config.EndpointList;
import loomreel.config.ServeConfig;
import loomreel.decision.DeduplicationScope;
import loomreel.decision.Endpoint;
import loomreel.decision.Idempotency;
import loomreel.decision.Settings;
import loomreel.settings.Installation;

/**
 * Translates the settings of an installation, which the {@code daemon} command reads from a file,
 * into the configuration of a dispatcher process.
 */
public final class DaemonConfig {
  /**
   * The time, in microseconds, for which an answer still counts after a client's deadline. It is 0:
   * an answer after the deadline does not count. Clients measure the deadline by their own clocks.
   */
  private static final long ANSWER_GRACE_MICROS = 0;

  /** Minimum time, in microseconds, between two calls of the decision module. */
  private static final long TICK_MICROS = 1000;

  /**
   * Maximum duration of a shutdown, in microseconds. The value means that there is no maximum:
   * whoever runs a daemon waits until the process has ended. The duration is still limited by the
   * longest deadline of the request classes; see {@link GracefulShutdown}.
   */
  private static final long SHUTDOWN_LIMIT_MICROS = Long.MAX_VALUE;

  private DaemonConfig() {}

  /**
   * Translates the settings of an installation.
   *
   * @param seed the seed of the random numbers; a daemon uses a different seed for each start
   */
  public static ServeConfig of(Installation installation, long seed) {
    return new ServeConfig(
        installation.name(),
        installation.listeners().httpAddress(),
        false,
        installation.listeners().adminAddress(),
        null,
        installation.discoveryAddress(),
        seed,
        installation.limits().maxDescriptors(),
        installation.limits().memory().bytes(),
        workers(installation),
        settings(installation),
        installation.network().connectTimeout().micros(),
        installation.network().idleTimeout().micros(),
        ANSWER_GRACE_MICROS,
        SHUTDOWN_LIMIT_MICROS);
  }

  private static EndpointList workers(Installation installation) {
    List<Endpoint> endpoints = new ArrayList<>();
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    installation
        .workers()
        .forEach(
            (id, worker) -> {
              endpoints.add(endpoint(id, worker));
              addresses.put(id, worker.address());
            });
    return new EndpointList(EndpointList.UNVERSIONED, true, endpoints, addresses);
  }

  private static Endpoint endpoint(String id, Installation.Worker worker) {
    return new Endpoint(
        id,
        worker.zone(),
        worker.kind(),
        worker.failureDomain(),
        Endpoint.State.READY,
        0,
        worker.weight());
  }

  private static Settings settings(Installation installation) {
    boolean pollsEndpoints = installation.discoveryAddress() != null;
    return Settings.builder()
        .dispatchers(installation.dispatchers())
        .zone(installation.zone())
        .classes(requestClasses(installation.jobClasses()))
        .tenants(tenants(installation.tenants()))
        .rules(rules(installation.workerRules(), pollsEndpoints))
        .limits(limits(installation.limits()))
        .pollsEndpoints(pollsEndpoints)
        .loadReporting(loadReporting(installation.network().loadReporting()))
        .reportsJobStart(installation.network().reportsJobStart())
        .tick(TICK_MICROS)
        .build();
  }

  private static List<Settings.RequestClass> requestClasses(
      Map<String, Installation.JobClass> classes) {
    List<Settings.RequestClass> translated = new ArrayList<>();
    classes.forEach((name, jobClass) -> translated.add(requestClass(name, jobClass)));
    return translated;
  }

  private static Settings.RequestClass requestClass(String name, Installation.JobClass jobClass) {
    return new Settings.RequestClass(
        name,
        jobClass.workerKind().isEmpty() ? null : jobClass.workerKind(),
        jobClass.priority(),
        jobClass.latencyObjectivePerWork(),
        jobClass.latencyObjective().micros(),
        jobClass.deadline().micros(),
        jobClass.priorityWeight(),
        jobClass.latePriorityFraction(),
        idempotency(jobClass.idempotency()),
        deduplicationScope(jobClass.deduplicationScope()),
        jobClass.deduplicationWindow().micros());
  }

  private static Idempotency idempotency(Installation.Idempotency idempotency) {
    return switch (idempotency) {
      case IDEMPOTENT -> Idempotency.IDEMPOTENT;
      case KEYED -> Idempotency.KEYED;
      case NON_IDEMPOTENT -> Idempotency.NON_IDEMPOTENT;
    };
  }

  private static DeduplicationScope deduplicationScope(Installation.DeduplicationScope scope) {
    return switch (scope) {
      case ALL -> DeduplicationScope.ALL;
      case ZONE -> DeduplicationScope.ZONE;
      case FAILURE_DOMAIN -> DeduplicationScope.FAILURE_DOMAIN;
    };
  }

  private static List<Settings.Tenant> tenants(Map<String, Installation.Tenant> tenants) {
    List<Settings.Tenant> translated = new ArrayList<>();
    tenants.forEach(
        (name, tenant) -> translated.add(new Settings.Tenant(name, tenant.quotaPerSecond())));
    return translated;
  }

  private static Settings.Rules rules(Installation.WorkerRules rules, boolean pollsEndpoints) {
    return new Settings.Rules(
        rules.drainGrace().micros(),
        pollsEndpoints ? rules.pollInterval().micros() : 0,
        rules.initialCapacityFraction(),
        rules.slowStartDuration().micros(),
        rules.overloadMultiple(),
        rules.overloadWindow().micros());
  }

  private static Settings.Limits limits(Installation.Limits limits) {
    return new Settings.Limits(
        limits.maxAttempts(),
        limits.hedging(),
        limits.cancellation(),
        limits.healthChecks(),
        limits.retryAfter(),
        limits.maxRetryAfter().micros());
  }

  private static Settings.LoadReporting loadReporting(Installation.LoadReporting reporting) {
    return switch (reporting) {
      case NONE -> Settings.LoadReporting.NONE;
      case WITH_ANSWERS -> Settings.LoadReporting.WITH_ANSWERS;
      case WITH_HEALTH_CHECKS -> Settings.LoadReporting.WITH_HEALTH_CHECKS;
    };
  }
}
