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
 * Deterministic simulation of many dispatchers and workers on one virtual clock. Tests use the
 * simulation to check quantities that are summed over all dispatchers. The seed and the tick of the
 * settings are fixed for a run, so two runs with the same settings, seed and load give the same
 * results. Times are in microseconds.
 */
final class FleetSimulation {
  /** The number of microseconds in a second. */
  static final long SECOND = DispatcherHarness.SECOND;

  /**
   * The time, in microseconds, from the start of a health check to its result if the worker is
   * reachable. If the worker is unreachable, the result arrives after {@link
   * #CONNECT_TIMEOUT_MICROS}. Every result states this constant as the duration of the health
   * check, even if the worker is unreachable.
   */
  private static final long ROUND_TRIP_MICROS = 20_000;

  /**
   * The time, in microseconds, after which the connection to an unreachable worker fails, for an
   * attempt or a health check.
   */
  private static final long CONNECT_TIMEOUT_MICROS = 250_000;

  /** The time, in microseconds, from the start of an attempt to its rejection by the worker. */
  private static final long REJECTION_DELAY_MICROS = 1000;

  /** The time, in microseconds, that a client waits for an answer. */
  private static final long CLIENT_TIMEOUT_MICROS = 5 * SECOND;

  /**
   * The exponent that makes some keys more frequent than others. The number of a key is the number
   * of keys times a uniform random number between 0 and 1 that is raised to this exponent. The
   * larger the exponent, the more frequent are the keys with low numbers.
   */
  private static final double KEY_SKEW = 2;

  /**
   * A task and the time at which it runs. Tasks with the same time run in the order of their
   * sequence numbers.
   */
  private record ScheduledTask(long timeMicros, long sequenceNumber, Runnable task) {}

  final Settings settings;
  final Map<String, SimulatedWorker> workers = new TreeMap<>();

  /** The times, in microseconds, at which dispatchers polled the endpoint list. */
  final List<Long> pollTimesMicros = new ArrayList<>();

  /** The current time, in microseconds. */
  long nowMicros = 100 * SECOND;

  /** The number of requests that were answered by a successful attempt. */
  int servedCount;

  /** The number of requests that dispatchers rejected. */
  int rejectedCount;

  /** The number of requests that dispatchers failed. */
  int failedCount;

  private final List<DispatchPolicy> dispatchers = new ArrayList<>();
  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::timeMicros)
              .thenComparingLong(ScheduledTask::sequenceNumber));
  private final SplittableRandom random;

  /** The ids of the requests that have arrived and have no answer yet. */
  private final Set<String> unansweredIds = new HashSet<>();

  /** The number of attempts that have started, by request id. */
  private final Map<String, Integer> attemptCountById = new HashMap<>();

  /** The work of the job, by request id. */
  private final Map<String, Double> workMicrosById = new HashMap<>();

  /** The number of tasks that have been scheduled. */
  private long taskCount;

  /** Creates a simulation that has no dispatchers and no workers yet. */
  FleetSimulation(Settings settings, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
  }

  /** Starts {@code count} dispatchers and delivers the endpoint list to each of them. */
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

  private void schedule(long timeMicros, Runnable task) {
    tasks.add(new ScheduledTask(timeMicros, taskCount++, task));
  }

  /**
   * Schedules the arrival of random requests at every dispatcher. The pauses between arrivals and
   * the work of the jobs are distributed exponentially. Keys with low numbers are more frequent.
   * The requests belong to the last tenant of the settings, or to none if the settings have no
   * tenants.
   *
   * @param requestsPerSecond the mean arrival rate at each dispatcher
   * @param keyCount the number of different keys
   * @param meanWorkMicros the mean run time of a job at a warm worker of speed 1
   * @param untilMicros the time at which the arrivals end
   */
  void addLoad(double requestsPerSecond, int keyCount, double meanWorkMicros, long untilMicros) {
    for (int dispatcherIndex = 0; dispatcherIndex < dispatchers.size(); dispatcherIndex++) {
      addLoad(dispatcherIndex, requestsPerSecond, keyCount, meanWorkMicros, untilMicros);
    }
  }

  /**
   * Schedules the arrival of random requests at one dispatcher. The requests are like those of
   * {@link #addLoad(double, int, double, long)}, and the other parameters have the same meaning.
   *
   * @param dispatcherIndex the index of the dispatcher in the order of starts
   */
  void addLoad(
      int dispatcherIndex,
      double requestsPerSecond,
      int keyCount,
      double meanWorkMicros,
      long untilMicros) {
    scheduleNextArrival(
        dispatchers.get(dispatcherIndex), requestsPerSecond, keyCount, meanWorkMicros, untilMicros);
  }

  /**
   * Schedules the next arrival at a dispatcher. When that request arrives, the arrival after it is
   * scheduled. No arrival is scheduled at or after {@code untilMicros}.
   */
  private void scheduleNextArrival(
      DispatchPolicy dispatcher,
      double arrivalsPerSecond,
      int keyCount,
      double meanWorkMicros,
      long untilMicros) {
    long arrivesAtMicros = nowMicros + (long) (drawExponential() / arrivalsPerSecond * SECOND);
    if (arrivesAtMicros < untilMicros) {
      schedule(
          arrivesAtMicros,
          () -> {
            deliverRandomRequest(dispatcher, keyCount, meanWorkMicros);
            scheduleNextArrival(
                dispatcher, arrivalsPerSecond, keyCount, meanWorkMicros, untilMicros);
          });
    }
  }

  /** Returns a random number from the exponential distribution with mean 1. */
  private double drawExponential() {
    return -Math.log(1 - random.nextDouble());
  }

  /**
   * Delivers the arrival of a random request. The request is idempotent or non-idempotent, each
   * with the same probability.
   */
  private void deliverRandomRequest(
      DispatchPolicy dispatcher, int keyCount, double meanWorkMicros) {
    String id = Long.toHexString(random.nextLong());
    double workMicros = drawExponential() * meanWorkMicros;
    unansweredIds.add(id);
    workMicrosById.put(id, workMicros);
    String key = "k" + (int) (keyCount * Math.pow(random.nextDouble(), KEY_SKEW));
    int classIndex = random.nextInt(2) * DispatcherHarness.NON_IDEMPOTENT_CLASS;
    int tenantIndex = settings.tenants().size() - 1;
    deliver(
        dispatcher,
        new RequestArrived(
            id,
            key,
            1,
            classIndex,
            tenantIndex,
            nowMicros + CLIENT_TIMEOUT_MICROS,
            false,
            workMicros));
  }

  /** Returns the number of requests that have arrived and have no answer yet. */
  int unansweredCount() {
    return unansweredIds.size();
  }

  /**
   * Runs the tasks that are due by {@code untilMicros}, in the order of their times, and then sets
   * the clock to {@code untilMicros}.
   */
  void run(long untilMicros) {
    while (!tasks.isEmpty() && tasks.peek().timeMicros() <= untilMicros) {
      ScheduledTask next = tasks.poll();
      nowMicros = Math.max(nowMicros, next.timeMicros());
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

  /** Executes an action of a dispatcher. Actions that cancel an attempt or log have no effect. */
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
      rejectedCount += unansweredIds.remove(reject.requestId()) ? 1 : 0;
    } else if (action instanceof Fail fail) {
      failedCount += unansweredIds.remove(fail.requestId()) ? 1 : 0;
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

  /**
   * Returns the result of a health check of the worker. The result states the duration {@link
   * #ROUND_TRIP_MICROS}, even if the worker is unreachable.
   */
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
    int attemptNumber = attemptCountById.merge(start.requestId(), 1, Integer::sum) - 1;
    double workMicros = workMicrosById.get(start.requestId());
    worker.recordAttempt(workMicros, nowMicros);
    switch (worker.mode) {
      case SERVING -> {
        long endsAtMicros = worker.startJob(workMicros, nowMicros, settings.rules());
        schedule(endsAtMicros, worker::endJob);
        scheduleEnd(dispatcher, start, attemptNumber, AttemptOutcome.OK, endsAtMicros);
      }
      case REJECTING ->
          scheduleEnd(
              dispatcher,
              start,
              attemptNumber,
              AttemptOutcome.REJECTED,
              nowMicros + REJECTION_DELAY_MICROS);
      case UNREACHABLE ->
          scheduleEnd(
              dispatcher,
              start,
              attemptNumber,
              AttemptOutcome.CONNECT_FAILED,
              nowMicros + CONNECT_TIMEOUT_MICROS);
      default -> throw new AssertionError(worker.mode);
    }
  }

  private void scheduleEnd(
      DispatchPolicy dispatcher,
      StartAttempt start,
      int attemptNumber,
      AttemptOutcome outcome,
      long endsAtMicros) {
    long sentAtMicros = nowMicros;
    schedule(
        endsAtMicros,
        () -> {
          boolean isFirstAnswer =
              outcome == AttemptOutcome.OK && unansweredIds.remove(start.requestId());
          servedCount += isFirstAnswer ? 1 : 0;
          boolean isAnswered = !unansweredIds.contains(start.requestId());
          deliver(
              dispatcher,
              new AttemptEnded(
                  start.requestId(),
                  attemptNumber,
                  start.workerId(),
                  outcome,
                  isAnswered,
                  nowMicros - sentAtMicros,
                  null));
        });
  }
}
