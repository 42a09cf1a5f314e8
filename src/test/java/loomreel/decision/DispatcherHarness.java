package loomreel.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import loomreel.decision.Action.CheckHealth;
import loomreel.decision.Action.SetTimer;
import loomreel.decision.Action.StartAttempt;
import loomreel.decision.Endpoint.State;
import loomreel.decision.Event.AttemptEnded;
import loomreel.decision.Event.EndpointSnapshot;
import loomreel.decision.Event.EndpointUpdate;
import loomreel.decision.Event.HealthChecked;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Event.Start;
import loomreel.decision.Event.TimerFired;
import loomreel.decision.Settings.Limits;
import loomreel.decision.Settings.LoadReporting;
import loomreel.decision.Settings.RequestClass;
import loomreel.decision.Settings.Rules;

/** One started policy under test with a clock of its own, and the settings that tests share. */
final class DispatcherHarness {
  /** A second in microseconds. */
  static final long SECOND = 1_000_000;

  static final Rules RULES = new Rules(SECOND / 2, 10 * SECOND, 0.2, 20 * SECOND, 3, 2 * SECOND);

  /** Positions in {@link #CLASSES}. */
  static final int READ = 0;

  static final int PAY = 1;
  static final int ISSUE = 2;
  static final int BIG_ONLY = 3;

  static final List<RequestClass> CLASSES =
      List.of(
          requestClass("read", null, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
          requestClass(
              "pay", null, 5, 0, Idempotency.KEYED, DeduplicationScope.FAILURE_DOMAIN, 3 * SECOND),
          requestClass(
              "issue", null, 3, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0),
          requestClass("big-only", "big", 3, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0));

  private static final long TICK = 2000;
  private static final long CLIENT_DEADLINE = 10 * SECOND;

  final DispatchPolicy policy = new DispatchPolicy();
  final Settings settings;
  long now = 100 * SECOND;

  DispatcherHarness(Settings settings, long seed) {
    this.settings = settings;
    handle(new Start(seed, settings));
  }

  /** One dispatcher with hedging and without health checks; load reports come with answers. */
  DispatcherHarness() {
    this(settings(1, true, false, LoadReporting.WITH_ANSWERS, false), 7);
  }

  /** A dispatcher with hedging and health checks. */
  static DispatcherHarness withHealthChecks(int dispatchers, long seed) {
    return new DispatcherHarness(
        settings(dispatchers, true, true, LoadReporting.WITH_HEALTH_CHECKS, false), seed);
  }

  /** The default dispatcher after a complete list of that many workers. */
  static DispatcherHarness withWorkers(int count) {
    DispatcherHarness dispatcher = new DispatcherHarness();
    dispatcher.handle(new EndpointSnapshot(endpoints(count)));
    return dispatcher;
  }

  private static RequestClass requestClass(
      String name,
      String workerKind,
      double priorityWeight,
      double latePriorityFraction,
      Idempotency idempotency,
      DeduplicationScope scope,
      long window) {
    return new RequestClass(
        name,
        workerKind,
        0,
        2,
        SECOND,
        CLIENT_DEADLINE,
        priorityWeight,
        latePriorityFraction,
        idempotency,
        scope,
        window);
  }

  static Settings settings(
      int dispatchers,
      boolean hedging,
      boolean healthChecks,
      LoadReporting loadReporting,
      boolean pollsEndpoints) {
    return Settings.builder()
        .rules(RULES)
        .limits(new Limits(4, hedging, true, healthChecks, true, SECOND))
        .dispatchers(dispatchers)
        .zone("north")
        .classes(CLASSES)
        .pollsEndpoints(pollsEndpoints)
        .loadReporting(loadReporting)
        .reportsJobStart(true)
        .tick(TICK)
        .build();
  }

  /** The ready workers w00, w01, and so on; see {@link #endpoint}. */
  static List<Endpoint> endpoints(int count) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      endpoints.add(endpoint(number, State.READY, 0));
    }
    return endpoints;
  }

  /**
   * The worker w00, w01, and so on: two in a failure domain, two failure domains of one zone after
   * the other, every third of kind big.
   */
  static Endpoint endpoint(int number, State state, long startedAt) {
    return new Endpoint(
        String.format("w%02d", number),
        number / 2 % 2 == 0 ? "north" : "south",
        number % 3 == 0 ? "big" : "small",
        number / 2,
        state,
        startedAt,
        1);
  }

  /** The number of a worker of {@link #endpoint}. */
  static int number(String workerId) {
    return Integer.parseInt(workerId.substring(1));
  }

  /** The failure domain of a worker of {@link #endpoint}. */
  static int failureDomain(String workerId) {
    return number(workerId) / 2;
  }

  static WorkerLoad loadReport(double queuedJobs, double activeJobs, double freeSlots) {
    return new WorkerLoad(queuedJobs, activeJobs, Double.NaN, freeSlots);
  }

  /** A request of one slot whose client waits for ten seconds. */
  RequestArrived request(String id, String key, int requestClass, double expectedWork) {
    return new RequestArrived(
        id, key, 1, requestClass, -1, now + CLIENT_DEADLINE, false, expectedWork);
  }

  List<Action> handle(Event event) {
    List<Action> actions = new ArrayList<>();
    policy.on(event, now, actions);
    return actions;
  }

  List<Action> arrive(String id, String key, int requestClass) {
    return handle(request(id, key, requestClass, Double.NaN));
  }

  /** Has a request arrive that is sent at once; the worker that it is sent to. */
  String workerFor(String id, String key, int requestClass) {
    return onlyAttempt(arrive(id, key, requestClass)).workerId();
  }

  List<Action> updateEndpoint(int number, State state, long startedAt) {
    return handle(new EndpointUpdate(List.of(endpoint(number, state, startedAt))));
  }

  /** Has an attempt end without a load report. */
  List<Action> endAttempt(String id, int attempt, String worker, AttemptOutcome outcome) {
    return handle(
        new AttemptEnded(
            id, attempt, worker, outcome, outcome == AttemptOutcome.OK, SECOND / 10, null));
  }

  /** Has the first attempt of a request succeed after a millisecond, with a load report. */
  List<Action> succeed(String id, String worker, WorkerLoad load) {
    return handle(new AttemptEnded(id, 0, worker, AttemptOutcome.OK, true, 1000, load));
  }

  /** Has a health check succeed after a millisecond. */
  List<Action> reportHealth(String worker, WorkerLoad load) {
    return handle(new HealthChecked(worker, AttemptOutcome.OK, 1000, load));
  }

  static List<StartAttempt> attempts(List<Action> actions) {
    return actionsOf(StartAttempt.class, actions);
  }

  static List<CheckHealth> healthChecks(List<Action> actions) {
    return actionsOf(CheckHealth.class, actions);
  }

  /** The single attempt that the actions start. */
  static StartAttempt onlyAttempt(List<Action> actions) {
    List<StartAttempt> attempts = attempts(actions);
    if (attempts.size() != 1) {
      throw new AssertionError("expected one attempt: " + actions);
    }
    return attempts.get(0);
  }

  static <T extends Action> List<T> actionsOf(Class<T> type, List<Action> actions) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Fires the timers that the actions set, and those that these set, in order, up to a time. */
  List<Action> fireTimers(List<Action> actions, long until) {
    List<Action> all = new ArrayList<>();
    List<SetTimer> timers = new ArrayList<>(actionsOf(SetTimer.class, actions));
    while (true) {
      SetTimer next = timers.stream().min(Comparator.comparingLong(SetTimer::time)).orElse(null);
      if (next == null || next.time() > until) {
        now = Math.max(now, until);
        return all;
      }
      timers.remove(next);
      now = Math.max(now + settings.tick(), next.time());
      List<Action> fired = handle(new TimerFired(next.token()));
      all.addAll(fired);
      timers.addAll(actionsOf(SetTimer.class, fired));
    }
  }
}
