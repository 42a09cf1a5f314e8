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

/** Translates the settings file of an installation into the configuration of a dispatcher. */
public final class DaemonConfig {
  /** No answer counts after a client's deadline, since clients go by their own clocks. */
  private static final long ANSWER_SLACK_MICROS = 0;

  /** The least time between two moments at which the decision module is called. */
  private static final long TICK_MICROS = 1000;

  /**
   * Whoever runs a daemon waits until it has ended, so the deadlines of its classes alone limit a
   * shutdown.
   */
  private static final long SHUTDOWN_LIMIT_MICROS = Long.MAX_VALUE;

  private DaemonConfig() {}

  /**
   * Translates an installation.
   *
   * @param seed for random numbers; new with each start
   */
  public static ServeConfig of(Installation installation, long seed) {
    return new ServeConfig(
        installation.name(),
        installation.listen().http(),
        false,
        installation.listen().operators(),
        null,
        installation.discovery(),
        seed,
        installation.limits().descriptors(),
        installation.limits().memory().bytes(),
        workers(installation),
        settings(installation),
        installation.network().connectWithin().micros(),
        installation.network().idleFor().micros(),
        ANSWER_SLACK_MICROS,
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
        id, worker.site(), worker.kind(), worker.block(), Endpoint.State.READY, 0, worker.weight());
  }

  private static Settings settings(Installation installation) {
    boolean pollsEndpoints = installation.discovery() != null;
    return Settings.builder()
        .dispatchers(installation.dispatchers())
        .zone(installation.site())
        .classes(requestClasses(installation.classes()))
        .tenants(tenants(installation.tenants()))
        .rules(rules(installation.rules(), pollsEndpoints))
        .limits(limits(installation.limits()))
        .pollsEndpoints(pollsEndpoints)
        .loadReporting(loadReporting(installation.network().reports()))
        .reportsJobStart(installation.network().tellsStart())
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
        jobClass.kind().isEmpty() ? null : jobClass.kind(),
        jobClass.priority(),
        jobClass.stretch(),
        jobClass.target().micros(),
        jobClass.deadline().micros(),
        jobClass.worth(),
        jobClass.lateWorth(),
        idempotency(jobClass.repeat()),
        deduplicationScope(jobClass.group()),
        jobClass.window().micros());
  }

  private static Idempotency idempotency(Installation.Repeat repeat) {
    return switch (repeat) {
      case FREE -> Idempotency.IDEMPOTENT;
      case GUARDED -> Idempotency.KEYED;
      case SINGLE_SHOT -> Idempotency.NON_IDEMPOTENT;
    };
  }

  private static DeduplicationScope deduplicationScope(Installation.Group group) {
    return switch (group) {
      case ALL -> DeduplicationScope.ALL;
      case ZONE -> DeduplicationScope.ZONE;
      case CELL -> DeduplicationScope.FAILURE_DOMAIN;
    };
  }

  private static List<Settings.Tenant> tenants(Map<String, Installation.Tenant> tenants) {
    List<Settings.Tenant> translated = new ArrayList<>();
    tenants.forEach(
        (name, tenant) -> translated.add(new Settings.Tenant(name, tenant.allowance())));
    return translated;
  }

  private static Settings.Rules rules(Installation.Rules rules, boolean pollsEndpoints) {
    return new Settings.Rules(
        rules.stopSendingWithin().micros(),
        pollsEndpoints ? rules.askWithin().micros() : 0,
        rules.coldFrom(),
        rules.coldFor().micros(),
        rules.tipMultiple(),
        rules.fallWithin().micros());
  }

  private static Settings.Limits limits(Installation.Limits limits) {
    return new Settings.Limits(
        limits.attempts(),
        limits.secondCopies(),
        limits.cancelling(),
        limits.probing(),
        limits.holdOff(),
        limits.maxHoldOff().micros());
  }

  private static Settings.LoadReporting loadReporting(Installation.Reports reports) {
    return switch (reports) {
      case NONE -> Settings.LoadReporting.NONE;
      case ANSWERS -> Settings.LoadReporting.WITH_ANSWERS;
      case PROBES -> Settings.LoadReporting.WITH_HEALTH_CHECKS;
    };
  }
}
