package loomreel.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import loomreel.decision.Action.CheckHealth;
import loomreel.decision.Action.Fail;
import loomreel.decision.Action.PollEndpoints;
import loomreel.decision.Action.Reject;
import loomreel.decision.Action.SetTimer;
import loomreel.decision.Action.StartAttempt;
import loomreel.decision.Event.AttemptEnded;
import loomreel.decision.Event.EndpointSnapshot;
import loomreel.decision.Event.HealthChecked;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Event.Start;
import loomreel.decision.Event.TimerFired;

/**
 * Deterministic simulation of many dispatchers and workers on one virtual clock. Tests use it to
 * check quantities that are summed over all dispatchers. The seed and the tick of the settings are
 * fixed for a run, so equal runs give equal results. Times are in microseconds.
 */
final class FleetSimulation {
  /** The number of microseconds in a second. */
  static final long SECOND = DispatcherHarness.SECOND;

  /** The time, in microseconds, after which a reachable worker answers a health check. */
  private static final long ROUND_TRIP_MICROS = 20_000;

  /**
   * The time, in microseconds, after which an attempt or health check at an unreachable worker
   * fails.
   */
  private static final long CONNECT_TIMEOUT_MICROS = 250_000;

  /** The time, in microseconds, after which a worker rejects an attempt. */
  private static final long REJECTION_DELAY_MICROS = 1000;

  /** The time, in microseconds, that a client waits for an answer. */
  private static final long CLIENT_TIMEOUT_MICROS = 5 * SECOND;

  /**
   * The exponent of the uniform random number from 0 to 1 that selects a key. A larger exponent
   * selects keys with low numbers more often.
   */
  private static final double KEY_SKEW = 2;

  /**
   * A task that runs at a time. Tasks with the same time run in the order of their sequence
   * numbers.
   */
  private record ScheduledTask(long time, long sequenceNumber, Runnable task) {}

  final Settings settings;
  final Map<String, SimulatedWorker> workers = new TreeMap<>();

  /** The times, in microseconds, at which dispatchers polled the endpoint list. */
  final List<Long> pollTimesMicros = new ArrayList<>();

  /** The current time, in microseconds. */
  long nowMicros = 100 * SECOND;

  /** The number of requests that a successful attempt answered. */
  int servedCount;

  /** The number of requests that dispatchers rejected. */
  int rejectedCount;

  /** The number of requests that dispatchers failed. */
  int failedCount;

  private final List<DispatchPolicy> dispatchers = new ArrayList<>();
  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::time)
              .thenComparingLong(ScheduledTask::sequenceNumber));
  private final SplittableRandom random;
  private final Set<String> unanswered = new HashSet<>();
  private final Map<String, Integer> attemptCountById = new HashMap<>();
  private final Map<String, Double> workMicrosById = new HashMap<>();
  private long taskCount;

  FleetSimulation(Settings settings, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
  }

  /** Starts {@code count} dispatchers and delivers an endpoint list to each. */
  void start(int count, List<Endpoint> endpoints) {
    for (int i = 0; i < count; i++) {
      DispatchPolicy dispatcher = new DispatchPolicy();
      dispatchers.add(dispatcher);
      deliver(dispatcher, new Start(random.nextLong(), settings));
      deliver(dispatcher, new EndpointSnapshot(endpoints));
    }
  }

  void forEachDispatcher(Consumer<DispatchPolicy> action) {
    dispatchers.forEach(action);
  }

  private void schedule(long time, Runnable task) {
    tasks.add(new ScheduledTask(time, taskCount++, task));
  }

  /**
   * Schedules requests at every dispatcher, with exponentially distributed pauses and work. Keys
   * with low numbers are more frequent.
   *
   * @param requestsPerSecond the mean arrival rate at each dispatcher
   * @param keyCount the number of different keys
   * @param meanWorkMicros the mean run time of a job at a warm worker of speed 1
   * @param untilMicros the time at which the arrivals end
   */
  void addLoad(double requestsPerSecond, int keyCount, double meanWorkMicros, long untilMicros) {
    for (int number = 0; number < dispatchers.size(); number++) {
      addLoad(number, requestsPerSecond, keyCount, meanWorkMicros, untilMicros);
    }
  }

  /**
   * Schedules requests at one dispatcher as {@link #addLoad(double, int, double, long)} does at
   * all. They belong to the last tenant of the settings, or to none if the settings have no
   * tenants.
   *
   * @param number the index of the dispatcher in the order of starts
   */
  void addLoad(
      int number, double requestsPerSecond, int keyCount, double meanWorkMicros, long untilMicros) {
    scheduleArrival(
        dispatchers.get(number), requestsPerSecond, keyCount, meanWorkMicros, untilMicros);
  }

  private void scheduleArrival(
      DispatchPolicy dispatcher,
      double arrivalsPerSecond,
      int keyCount,
      double meanWorkMicros,
      long untilMicros) {
    long next = nowMicros + (long) (drawExponential() / arrivalsPerSecond * SECOND);
    if (next < untilMicros) {
      schedule(
          next,
          () -> {
            arrive(dispatcher, keyCount, meanWorkMicros);
            scheduleArrival(dispatcher, arrivalsPerSecond, keyCount, meanWorkMicros, untilMicros);
          });
    }
  }

  /** Returns a random number from the exponential distribution with mean 1. */
  private double drawExponential() {
    return -Math.log(1 - random.nextDouble());
  }

  private void arrive(DispatchPolicy dispatcher, int keyCount, double meanWorkMicros) {
    String id = Long.toHexString(random.nextLong());
    double workMicros = drawExponential() * meanWorkMicros;
    unanswered.add(id);
    workMicrosById.put(id, workMicros);
    String key = "k" + (int) (keyCount * Math.pow(random.nextDouble(), KEY_SKEW));
    int requestClass = random.nextInt(2) * DispatcherHarness.NON_IDEMPOTENT_CLASS;
    int tenant = settings.tenants().size() - 1;
    deliver(
        dispatcher,
        new RequestArrived(
            id,
            key,
            1,
            requestClass,
            tenant,
            nowMicros + CLIENT_TIMEOUT_MICROS,
            false,
            workMicros));
  }

  /** Returns the number of requests that have arrived and have no answer yet. */
  int unansweredCount() {
    return unanswered.size();
  }

  /** Runs the tasks up to a time in the order of their times, and advances the clock to it. */
  void run(long untilMicros) {
    while (!tasks.isEmpty() && tasks.peek().time() <= untilMicros) {
      ScheduledTask next = tasks.poll();
      nowMicros = Math.max(nowMicros, next.time());
      next.task().run();
    }
    nowMicros = untilMicros;
  }

  /** Delivers an event to a dispatcher at the current time and executes the resulting actions. */
  void deliver(DispatchPolicy dispatcher, Event event) {
    List<Action> actions = new ArrayList<>();
    dispatcher.on(event, nowMicros, actions);
    actions.forEach(action -> execute(dispatcher, action));
  }

  /** Executes an action. Cancellations and log lines have no effect. */
  private void execute(DispatchPolicy dispatcher, Action action) {
    if (action instanceof SetTimer timer) {
      schedule(
          Math.max(timer.time(), nowMicros + settings.tick()),
          () -> deliver(dispatcher, new TimerFired(timer.token())));
    } else if (action instanceof StartAttempt start) {
      startAttempt(dispatcher, start);
    } else if (action instanceof CheckHealth check) {
      checkHealth(dispatcher, check.workerId());
    } else if (action instanceof PollEndpoints) {
      pollTimesMicros.add(nowMicros);
    } else if (action instanceof Reject reject) {
      rejectedCount += unanswered.remove(reject.requestId()) ? 1 : 0;
    } else if (action instanceof Fail fail) {
      failedCount += unanswered.remove(fail.requestId()) ? 1 : 0;
    }
  }

  private void checkHealth(DispatchPolicy dispatcher, String workerId) {
    SimulatedWorker worker = workers.get(workerId);
    worker.healthCheckTimesMicros.add(nowMicros);
    boolean isUnreachable = worker.mode == SimulatedWorker.Mode.UNREACHABLE;
    schedule(
        nowMicros + (isUnreachable ? CONNECT_TIMEOUT_MICROS : ROUND_TRIP_MICROS),
        () -> deliver(dispatcher, healthCheckResult(worker)));
  }

  private static HealthChecked healthCheckResult(SimulatedWorker worker) {
    String id = worker.endpoint.id();
    return switch (worker.mode) {
      case SERVING ->
          new HealthChecked(id, AttemptOutcome.OK, ROUND_TRIP_MICROS, worker.loadReport());
      case REJECTING -> new HealthChecked(id, AttemptOutcome.ERROR, ROUND_TRIP_MICROS, null);
      case UNREACHABLE ->
          new HealthChecked(id, AttemptOutcome.CONNECT_FAILED, ROUND_TRIP_MICROS, null);
    };
  }

  private void startAttempt(DispatchPolicy dispatcher, StartAttempt start) {
    SimulatedWorker worker = workers.get(start.workerId());
    int number = attemptCountById.merge(start.requestId(), 1, Integer::sum) - 1;
    double workMicros = workMicrosById.get(start.requestId());
    worker.recordAttempt(workMicros, nowMicros);
    switch (worker.mode) {
      case SERVING -> {
        long endsAtMicros = worker.startJob(workMicros, nowMicros, settings.rules());
        schedule(endsAtMicros, worker::endJob);
        scheduleEnd(dispatcher, start, number, AttemptOutcome.OK, endsAtMicros);
      }
      case REJECTING ->
          scheduleEnd(
              dispatcher,
              start,
              number,
              AttemptOutcome.REJECTED,
              nowMicros + REJECTION_DELAY_MICROS);
      case UNREACHABLE ->
          scheduleEnd(
              dispatcher,
              start,
              number,
              AttemptOutcome.CONNECT_FAILED,
              nowMicros + CONNECT_TIMEOUT_MICROS);
      default -> throw new AssertionError(worker.mode);
    }
  }

  private void scheduleEnd(
      DispatchPolicy dispatcher,
      StartAttempt start,
      int number,
      AttemptOutcome outcome,
      long endsAtMicros) {
    long sentAtMicros = nowMicros;
    schedule(
        endsAtMicros,
        () -> {
          boolean isFirstAnswer =
              outcome == AttemptOutcome.OK && unanswered.remove(start.requestId());
          servedCount += isFirstAnswer ? 1 : 0;
          boolean isAnswered = !unanswered.contains(start.requestId());
          deliver(
              dispatcher,
              new AttemptEnded(
                  start.requestId(),
                  number,
                  start.workerId(),
                  outcome,
                  isAnswered,
                  nowMicros - sentAtMicros,
                  null));
        });
  }
}
