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
 * Many dispatchers and workers on one virtual clock, for sums over all dispatchers. Seeds and ticks
 * are fixed, so every run gives the same results. Times are microseconds.
 */
final class FleetSimulation {
  static final long SECOND = DispatcherHarness.SECOND;
  private static final long ROUND_TRIP = 20_000;
  private static final long CONNECT_TIMEOUT = 250_000;
  private static final long REJECTION_DELAY = 1000;
  private static final long CLIENT_DEADLINE = 5 * SECOND;

  /** Larger values draw the first keys more often. */
  private static final double KEY_SKEW = 2;

  private record ScheduledTask(long time, long order, Runnable task) {}

  final Settings settings;
  final Map<String, SimulatedWorker> workers = new TreeMap<>();

  /** When dispatchers polled the endpoint list. */
  final List<Long> polls = new ArrayList<>();

  long now = 100 * SECOND;
  int served;
  int rejected;
  int failed;
  private final List<DispatchPolicy> dispatchers = new ArrayList<>();
  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::time).thenComparingLong(ScheduledTask::order));
  private final SplittableRandom random;
  private final Set<String> unanswered = new HashSet<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Map<String, Double> workById = new HashMap<>();
  private long taskCount;

  FleetSimulation(Settings settings, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
  }

  /** Starts dispatchers now, each with this endpoint list. */
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

  /** Has requests arrive at every dispatcher until a time; some keys are more frequent. */
  void addLoad(double requestsPerSecond, int keys, double meanWork, long until) {
    for (int number = 0; number < dispatchers.size(); number++) {
      addLoad(number, requestsPerSecond, keys, meanWork, until);
    }
  }

  /** The same at one dispatcher; requests are of the first tenant if there is one. */
  void addLoad(int number, double requestsPerSecond, int keys, double meanWork, long until) {
    scheduleArrival(dispatchers.get(number), requestsPerSecond, keys, meanWork, until);
  }

  private void scheduleArrival(
      DispatchPolicy dispatcher, double rate, int keys, double meanWork, long until) {
    long next = now + (long) (drawExponential() / rate * SECOND);
    if (next < until) {
      schedule(
          next,
          () -> {
            arrive(dispatcher, keys, meanWork);
            scheduleArrival(dispatcher, rate, keys, meanWork, until);
          });
    }
  }

  /** Draws from the exponential distribution with mean 1. */
  private double drawExponential() {
    return -Math.log(1 - random.nextDouble());
  }

  private void arrive(DispatchPolicy dispatcher, int keys, double meanWork) {
    String id = Long.toHexString(random.nextLong());
    double work = drawExponential() * meanWork;
    unanswered.add(id);
    workById.put(id, work);
    String key = "k" + (int) (keys * Math.pow(random.nextDouble(), KEY_SKEW));
    int requestClass = random.nextInt(2) * DispatcherHarness.ISSUE;
    int tenant = settings.tenants().size() - 1;
    deliver(
        dispatcher,
        new RequestArrived(id, key, 1, requestClass, tenant, now + CLIENT_DEADLINE, false, work));
  }

  /** How many requests have arrived and have no answer yet. */
  int unansweredCount() {
    return unanswered.size();
  }

  /** Advances the clock. */
  void run(long until) {
    while (!tasks.isEmpty() && tasks.peek().time() <= until) {
      ScheduledTask next = tasks.poll();
      now = Math.max(now, next.time());
      next.task().run();
    }
    now = until;
  }

  void deliver(DispatchPolicy dispatcher, Event event) {
    List<Action> actions = new ArrayList<>();
    dispatcher.on(event, now, actions);
    actions.forEach(action -> execute(dispatcher, action));
  }

  private void execute(DispatchPolicy dispatcher, Action action) {
    if (action instanceof SetTimer timer) {
      schedule(
          Math.max(timer.time(), now + settings.tick()),
          () -> deliver(dispatcher, new TimerFired(timer.token())));
    } else if (action instanceof StartAttempt start) {
      startAttempt(dispatcher, start);
    } else if (action instanceof CheckHealth check) {
      checkHealth(dispatcher, check.workerId());
    } else if (action instanceof PollEndpoints) {
      polls.add(now);
    } else if (action instanceof Reject reject) {
      rejected += unanswered.remove(reject.requestId()) ? 1 : 0;
    } else if (action instanceof Fail fail) {
      failed += unanswered.remove(fail.requestId()) ? 1 : 0;
    }
  }

  private void checkHealth(DispatchPolicy dispatcher, String workerId) {
    SimulatedWorker worker = workers.get(workerId);
    worker.healthChecks.add(now);
    boolean isUnreachable = worker.mode == SimulatedWorker.Mode.UNREACHABLE;
    schedule(
        now + (isUnreachable ? CONNECT_TIMEOUT : ROUND_TRIP),
        () -> deliver(dispatcher, healthCheckResult(worker)));
  }

  private static HealthChecked healthCheckResult(SimulatedWorker worker) {
    String id = worker.endpoint.id();
    return switch (worker.mode) {
      case SERVING -> new HealthChecked(id, AttemptOutcome.OK, ROUND_TRIP, worker.loadReport());
      case REJECTING -> new HealthChecked(id, AttemptOutcome.ERROR, ROUND_TRIP, null);
      case UNREACHABLE -> new HealthChecked(id, AttemptOutcome.CONNECT_FAILED, ROUND_TRIP, null);
    };
  }

  private void startAttempt(DispatchPolicy dispatcher, StartAttempt start) {
    SimulatedWorker worker = workers.get(start.workerId());
    int number = attempts.merge(start.requestId(), 1, Integer::sum) - 1;
    double work = workById.get(start.requestId());
    worker.recordAttempt(work, now);
    switch (worker.mode) {
      case SERVING -> {
        long endsAt = worker.startJob(work, now, settings.rules());
        schedule(endsAt, worker::endJob);
        scheduleEnd(dispatcher, start, number, AttemptOutcome.OK, endsAt);
      }
      case REJECTING ->
          scheduleEnd(dispatcher, start, number, AttemptOutcome.REJECTED, now + REJECTION_DELAY);
      case UNREACHABLE ->
          scheduleEnd(
              dispatcher, start, number, AttemptOutcome.CONNECT_FAILED, now + CONNECT_TIMEOUT);
      default -> throw new AssertionError(worker.mode);
    }
  }

  private void scheduleEnd(
      DispatchPolicy dispatcher,
      StartAttempt start,
      int number,
      AttemptOutcome outcome,
      long endsAt) {
    long sentAt = now;
    schedule(
        endsAt,
        () -> {
          boolean isFirst = outcome == AttemptOutcome.OK && unanswered.remove(start.requestId());
          served += isFirst ? 1 : 0;
          boolean isAnswered = !unanswered.contains(start.requestId());
          deliver(
              dispatcher,
              new AttemptEnded(
                  start.requestId(),
                  number,
                  start.workerId(),
                  outcome,
                  isAnswered,
                  now - sentAt,
                  null));
        });
  }
}
