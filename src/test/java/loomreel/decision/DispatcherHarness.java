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

/**
 * Test harness that holds one started {@link DispatchPolicy} and the clock that its events use. It
 * also provides the settings, endpoints and load reports that tests share. Times are in
 * microseconds.
 */
final class DispatcherHarness {
  /** The number of microseconds in a second. */
  static final long SECOND = 1_000_000;

  /**
   * The platform rules of the shared settings: a drain grace of 0.5 s, a poll interval of 10 s, a
   * slow start of 20 s from 0.2 of the full capacity, and an overload limit of 3 times the capacity
   * over 2 s.
   */
  static final Rules RULES = new Rules(SECOND / 2, 10 * SECOND, 0.2, 20 * SECOND, 3, 2 * SECOND);

  /** The index in {@link #CLASSES} of the class of idempotent requests for any worker. */
  static final int IDEMPOTENT_CLASS = 0;

  /**
   * The index in {@link #CLASSES} of the class of keyed requests. Workers of the same failure
   * domain deduplicate them for 3 s.
   */
  static final int KEYED_CLASS = 1;

  /**
   * The index in {@link #CLASSES} of the class of non-idempotent requests. It is the only class in
   * which an answer after the latency objective has a value, which is half of the full value.
   */
  static final int NON_IDEMPOTENT_CLASS = 2;

  /**
   * The index in {@link #CLASSES} of the class of requests that only workers of kind big may run.
   */
  static final int BIG_WORKER_CLASS = 3;

  /**
   * The request classes of the shared settings. Each has a deadline of 10 s and a latency objective
   * of 1 s plus twice the work of the job.
   */
  static final List<RequestClass> CLASSES =
      List.of(
          requestClass("read", null, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
          requestClass(
              "pay", null, 5, 0, Idempotency.KEYED, DeduplicationScope.FAILURE_DOMAIN, 3 * SECOND),
          requestClass(
              "issue", null, 3, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0),
          requestClass("big-only", "big", 3, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0));

  /** The minimum time, in microseconds, between two events of a dispatcher. */
  private static final long TICK_MICROS = 2000;

  /** The time, in microseconds, that a client waits for an answer. */
  private static final long CLIENT_TIMEOUT_MICROS = 10 * SECOND;

  final DispatchPolicy policy = new DispatchPolicy();
  final Settings settings;

  /** The current time, in microseconds. Tests set it directly. */
  long nowMicros = 100 * SECOND;

  /** Creates a policy and delivers a start event with the given settings and random seed. */
  DispatcherHarness(Settings settings, long seed) {
    this.settings = settings;
    handle(new Start(seed, settings));
  }

  /**
   * Starts the default dispatcher. It is the only dispatcher of its workers, hedges requests, makes
   * no health checks, and gets load reports with answers.
   */
  DispatcherHarness() {
    this(settings(1, true, false, LoadReporting.WITH_ANSWERS, false), 7);
  }

  /**
   * Starts a dispatcher that hedges requests, makes health checks, and gets load reports with the
   * results of health checks.
   *
   * @param dispatchers the number of dispatchers that serve the same workers, including this one
   */
  static DispatcherHarness withHealthChecks(int dispatchers, long seed) {
    return new DispatcherHarness(
        settings(dispatchers, true, true, LoadReporting.WITH_HEALTH_CHECKS, false), seed);
  }

  /** Starts the default dispatcher and delivers an endpoint list of {@code count} ready workers. */
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
      long deduplicationWindowMicros) {
    return new RequestClass(
        name,
        workerKind,
        0,
        2,
        SECOND,
        CLIENT_TIMEOUT_MICROS,
        priorityWeight,
        latePriorityFraction,
        idempotency,
        scope,
        deduplicationWindowMicros);
  }

  /**
   * Returns settings with {@link #RULES} and {@link #CLASSES}, for a dispatcher in zone north that
   * may make 4 attempts for each request, cancel attempts, and reject requests with a retry delay
   * of up to 1 s.
   */
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
        .tick(TICK_MICROS)
        .build();
  }

  /** Returns the ready workers from number 0 on, which {@link #endpoint} describes. */
  static List<Endpoint> endpoints(int count) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int workerNumber = 0; workerNumber < count; workerNumber++) {
      endpoints.add(endpoint(workerNumber, State.READY, 0));
    }
    return endpoints;
  }

  /**
   * Returns the endpoint of the worker with this number. Its id is w00, w01, and so on. Workers 0
   * and 1 form the first failure domain, workers 2 and 3 the second, and so on. The failure domains
   * are alternately in zone north and in zone south. Every third worker, from worker 0 on, is of
   * kind big, and the others are of kind small.
   *
   * @param startedAtMicros the time at which the process of the worker started, in microseconds; 0
   *     for a worker that is warm
   */
  static Endpoint endpoint(int workerNumber, State state, long startedAtMicros) {
    return new Endpoint(
        String.format("w%02d", workerNumber),
        workerNumber / 2 % 2 == 0 ? "north" : "south",
        workerNumber % 3 == 0 ? "big" : "small",
        workerNumber / 2,
        state,
        startedAtMicros,
        1);
  }

  /** Returns the number of a worker whose id {@link #endpoint} assigned. */
  static int workerNumber(String workerId) {
    return Integer.parseInt(workerId.substring(1));
  }

  /** Returns the failure domain of a worker whose id {@link #endpoint} assigned. */
  static int failureDomain(String workerId) {
    return workerNumber(workerId) / 2;
  }

  /** Returns a load report without the utilization. */
  static WorkerLoad loadReport(double queuedJobs, double activeJobs, double freeSlots) {
    return new WorkerLoad(queuedJobs, activeJobs, Double.NaN, freeSlots);
  }

  /**
   * Returns the arrival of a request that takes one slot and whose client waits for 10 s.
   *
   * @param key the key of the job, or null for none
   * @param requestClass the index of the request class in {@link #CLASSES}
   * @param expectedWorkMicros the expected run time in microseconds, or NaN if unknown
   */
  RequestArrived request(String id, String key, int requestClass, double expectedWorkMicros) {
    return new RequestArrived(
        id,
        key,
        1,
        requestClass,
        -1,
        nowMicros + CLIENT_TIMEOUT_MICROS,
        false,
        expectedWorkMicros);
  }

  /** Delivers an event at the current time and returns the actions of the policy. */
  List<Action> handle(Event event) {
    List<Action> actions = new ArrayList<>();
    policy.on(event, nowMicros, actions);
    return actions;
  }

  /** Delivers the arrival of a {@link #request} whose expected work is unknown. */
  List<Action> arrive(String id, String key, int requestClass) {
    return handle(request(id, key, requestClass, Double.NaN));
  }

  /**
   * Delivers the arrival of a request that the policy sends at once, and returns the id of the
   * worker that gets it.
   *
   * @throws AssertionError if the policy does not start exactly one attempt
   */
  String dispatch(String id, String key, int requestClass) {
    return onlyAttempt(arrive(id, key, requestClass)).workerId();
  }

  /**
   * Delivers an endpoint update that contains one worker.
   *
   * @param startedAtMicros the time at which the process of the worker started, in microseconds; 0
   *     for a worker that is warm
   */
  List<Action> updateEndpoint(int workerNumber, State state, long startedAtMicros) {
    return handle(new EndpointUpdate(List.of(endpoint(workerNumber, state, startedAtMicros))));
  }

  /**
   * Delivers the end of an attempt after 0.1 s, without a load report. The request counts as
   * answered if the outcome is OK.
   */
  List<Action> endAttempt(String id, int attemptNumber, String workerId, AttemptOutcome outcome) {
    return handle(
        new AttemptEnded(
            id, attemptNumber, workerId, outcome, outcome == AttemptOutcome.OK, SECOND / 10, null));
  }

  /** Delivers the success of the first attempt of a request after 1 ms, with a load report. */
  List<Action> succeedFirstAttempt(String id, String workerId, WorkerLoad load) {
    return handle(new AttemptEnded(id, 0, workerId, AttemptOutcome.OK, true, 1000, load));
  }

  /** Delivers the success of a health check after 1 ms, with a load report. */
  List<Action> reportHealth(String workerId, WorkerLoad load) {
    return handle(new HealthChecked(workerId, AttemptOutcome.OK, 1000, load));
  }

  /** Returns the actions that start an attempt. */
  static List<StartAttempt> attempts(List<Action> actions) {
    return actionsOf(StartAttempt.class, actions);
  }

  /** Returns the actions that start a health check. */
  static List<CheckHealth> healthChecks(List<Action> actions) {
    return actionsOf(CheckHealth.class, actions);
  }

  /**
   * Returns the only attempt that the actions start.
   *
   * @throws AssertionError if the actions do not start exactly one attempt
   */
  static StartAttempt onlyAttempt(List<Action> actions) {
    List<StartAttempt> attempts = attempts(actions);
    if (attempts.size() != 1) {
      throw new AssertionError("expected one attempt: " + actions);
    }
    return attempts.get(0);
  }

  /** Returns the actions of a type, in order. */
  static <T extends Action> List<T> actionsOf(Class<T> type, List<Action> actions) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  /**
   * Fires the timers that the actions set, and the timers that the policy sets in response, in the
   * order of their times. Advances the clock by at least one tick for each timer, and at the end to
   * {@code untilMicros} unless it is later already.
   *
   * @param untilMicros the time of the last timer that fires, in microseconds
   * @return the actions of the policy in response to all timers
   */
  List<Action> fireTimers(List<Action> actions, long untilMicros) {
    List<Action> allActions = new ArrayList<>();
    List<SetTimer> timers = new ArrayList<>(actionsOf(SetTimer.class, actions));
    while (true) {
      SetTimer nextTimer =
          timers.stream().min(Comparator.comparingLong(SetTimer::time)).orElse(null);
      if (nextTimer == null || nextTimer.time() > untilMicros) {
        nowMicros = Math.max(nowMicros, untilMicros);
        return allActions;
      }
      timers.remove(nextTimer);
      nowMicros = Math.max(nowMicros + settings.tick(), nextTimer.time());
      List<Action> responses = handle(new TimerFired(nextTimer.token()));
      allActions.addAll(responses);
      timers.addAll(actionsOf(SetTimer.class, responses));
    }
  }
}
