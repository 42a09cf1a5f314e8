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
 * Test harness that holds one started {@link DispatchPolicy} and the clock for the events that
 * tests deliver to the policy. The harness also provides the settings, endpoints and load reports
 * that tests share. Times are in microseconds.
 */
final class DispatcherHarness {
  /** The number of microseconds in a second. */
  static final long SECOND = 1_000_000;

  /**
   * The platform rules of the shared settings. The drain grace is 0.5 s and the poll interval 10 s.
   * A worker starts with at least 0.2 of its capacity and has its full capacity after 20 s. The
   * overload multiple is 3 and the overload window is 2 s. {@link Rules} defines these terms.
   */
  static final Rules RULES = new Rules(SECOND / 2, 10 * SECOND, 0.2, 20 * SECOND, 3, 2 * SECOND);

  /** The index in {@link #CLASSES} of the class whose requests are idempotent. */
  static final int IDEMPOTENT_CLASS = 0;

  /**
   * The index in {@link #CLASSES} of the class with {@link Idempotency#KEYED}. If an attempt of a
   * request in this class may have run, the request is repeated only if it has an idempotency key.
   * Workers of the same failure domain deduplicate requests with the same idempotency key for 3 s.
   * The idempotency key is not the {@code key} of {@link #request}, which is a routing key.
   */
  static final int KEYED_CLASS = 1;

  /**
   * The index in {@link #CLASSES} of the class whose requests are not idempotent. In this class, an
   * answer after the latency objective has half of its value. In the other classes, such an answer
   * has no value.
   */
  static final int NON_IDEMPOTENT_CLASS = 2;

  /**
   * The index in {@link #CLASSES} of the class whose requests only workers of kind big may run. The
   * requests of the other classes may run on workers of any kind.
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

  /**
   * The {@code tick} of the shared settings, in microseconds. The policy uses multiples of the tick
   * as pauses and margins. Tests may deliver two events less than one tick apart, or at the same
   * time.
   */
  private static final long TICK_MICROS = 2000;

  /** The time, in microseconds, that a client waits for an answer. */
  private static final long CLIENT_TIMEOUT_MICROS = 10 * SECOND;

  final DispatchPolicy policy = new DispatchPolicy();
  final Settings settings;

  /** The current time, in microseconds. Tests set it directly. */
  long nowMicros = 100 * SECOND;

  /**
   * Creates a policy and starts it.
   *
   * @param seed the seed for the random numbers of the policy
   */
  DispatcherHarness(Settings settings, long seed) {
    this.settings = settings;
    handle(new Start(seed, settings));
  }

  /**
   * Starts the default dispatcher, which has no endpoint list yet. No other dispatcher serves the
   * same workers. The default dispatcher hedges requests, makes no health checks, and gets load
   * reports with answers.
   */
  DispatcherHarness() {
    this(settings(1, true, false, LoadReporting.WITH_ANSWERS, false), 7);
  }

  /**
   * Starts a dispatcher that hedges requests, makes health checks, and gets load reports with the
   * results of health checks.
   *
   * @param dispatcherCount the number of dispatchers that serve the same workers, including this
   *     one
   * @param seed the seed for the random numbers of the policy
   */
  static DispatcherHarness withHealthChecks(int dispatcherCount, long seed) {
    return new DispatcherHarness(
        settings(dispatcherCount, true, true, LoadReporting.WITH_HEALTH_CHECKS, false), seed);
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
   * Returns settings with {@link #RULES} and {@link #CLASSES}. The dispatcher is in zone north. It
   * may make up to 4 attempts for each request, cancel attempts, and reject a request with a retry
   * delay of up to 1 s for the client. Workers report when a job starts.
   *
   * @param dispatcherCount the number of dispatchers that serve the same workers, including this
   *     one
   * @param hedging whether an attempt may start while another attempt of the request is open
   * @param healthChecks whether the dispatcher may query the load of workers
   * @param loadReporting the responses of workers that contain load reports
   * @param pollsEndpoints whether the dispatcher has to poll the endpoint list
   */
  static Settings settings(
      int dispatcherCount,
      boolean hedging,
      boolean healthChecks,
      LoadReporting loadReporting,
      boolean pollsEndpoints) {
    return Settings.builder()
        .rules(RULES)
        .limits(new Limits(4, hedging, true, healthChecks, true, SECOND))
        .dispatchers(dispatcherCount)
        .zone("north")
        .classes(CLASSES)
        .pollsEndpoints(pollsEndpoints)
        .loadReporting(loadReporting)
        .reportsJobStart(true)
        .tick(TICK_MICROS)
        .build();
  }

  /** Returns an {@link #endpoint} for each worker from 0 to {@code count - 1}, ready and warm. */
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

  /** Returns the number of the worker to which {@link #endpoint} assigned this id. */
  static int workerNumber(String workerId) {
    return Integer.parseInt(workerId.substring(1));
  }

  /** Returns the failure domain that {@link #endpoint} assigned to the worker with this id. */
  static int failureDomain(String workerId) {
    return workerNumber(workerId) / 2;
  }

  /**
   * Returns a load report that contains the given numbers of jobs and slots, but no utilization.
   */
  static WorkerLoad loadReport(double queuedJobs, double activeJobs, double freeSlots) {
    return new WorkerLoad(queuedJobs, activeJobs, Double.NaN, freeSlots);
  }

  /**
   * Returns an event that states the arrival of a request at the current time. The request takes
   * one slot and has an idempotency key, and its client waits for 10 s.
   *
   * @param key the routing key, which names the program or data set that the job needs; null for
   *     none
   * @param classIndex the index of the request class in {@link #CLASSES}
   * @param expectedWorkMicros the expected run time in microseconds, or NaN if unknown
   */
  RequestArrived request(String id, String key, int classIndex, double expectedWorkMicros) {
    return new RequestArrived(
        id, key, 1, classIndex, -1, nowMicros + CLIENT_TIMEOUT_MICROS, false, expectedWorkMicros);
  }

  /** Delivers an event at the current time and returns the actions of the policy. */
  List<Action> handle(Event event) {
    List<Action> actions = new ArrayList<>();
    policy.on(event, nowMicros, actions);
    return actions;
  }

  /**
   * Delivers the arrival of a {@link #request} with unknown expected work and returns the actions
   * of the policy.
   */
  List<Action> arrive(String id, String key, int classIndex) {
    return handle(request(id, key, classIndex, Double.NaN));
  }

  /**
   * Delivers the arrival of a request, which the policy is expected to send to a worker at once.
   *
   * @return the id of the worker that gets the request
   * @throws AssertionError if the policy does not start exactly one attempt
   */
  String dispatch(String id, String key, int classIndex) {
    return onlyAttempt(arrive(id, key, classIndex)).workerId();
  }

  /**
   * Delivers an endpoint update that contains one worker, and returns the actions of the policy.
   *
   * @param startedAtMicros the time at which the process of the worker started, in microseconds; 0
   *     for a worker that is warm
   */
  List<Action> updateEndpoint(int workerNumber, State state, long startedAtMicros) {
    return handle(new EndpointUpdate(List.of(endpoint(workerNumber, state, startedAtMicros))));
  }

  /**
   * Delivers the end of an attempt and returns the actions of the policy. The event states that the
   * attempt took 0.1 s and contains no load report. The request counts as answered if the outcome
   * is OK.
   */
  List<Action> endAttempt(String id, int attemptNumber, String workerId, AttemptOutcome outcome) {
    return handle(
        new AttemptEnded(
            id, attemptNumber, workerId, outcome, outcome == AttemptOutcome.OK, SECOND / 10, null));
  }

  /**
   * Delivers the success of the first attempt of a request and returns the actions of the policy.
   * The event states that the attempt took 1 ms.
   *
   * @param load the load report of the worker
   */
  List<Action> succeedFirstAttempt(String id, String workerId, WorkerLoad load) {
    return handle(new AttemptEnded(id, 0, workerId, AttemptOutcome.OK, true, 1000, load));
  }

  /**
   * Delivers the success of a health check and returns the actions of the policy. The event states
   * that the health check took 1 ms.
   *
   * @param load the load report of the worker
   */
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
   * Fires the timers that the actions set, in the order of their times. If the policy sets more
   * timers in response, these timers fire too. Timers with a time after {@code untilMicros} do not
   * fire. For each timer that fires, the clock advances to the time of the timer, but by at least
   * one tick. At the end, the clock advances to {@code untilMicros}, unless the clock is already
   * past that time.
   *
   * @param untilMicros the latest time of a timer that may fire, in microseconds
   * @return all actions of the policy in response to the timers
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
