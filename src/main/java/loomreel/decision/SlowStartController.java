package loomreel.decision;

import java.util.HashMap;
import java.util.Map;
import loomreel.decision.Settings.Rules;

/**
 * Limits what goes to workers that warm up, so that all dispatchers together stay under the load at
 * which such a worker falls over; {@link SlowStartLimiter} states the bound. Work is slots times
 * microseconds.
 */
final class SlowStartController {
  /** The share of the overload limit that is used, where it is estimated from warm workers. */
  private static final double MARGIN_BY_WARM_WORKERS = 0.33;

  /** The same where it is estimated from the worker's own slots. */
  private static final double MARGIN_BY_OWN_SLOTS = 0.8;

  /** The work that a slot of the slowest machine does in its time, where slots share cores. */
  private static final double MIN_SPEED = 0.45;

  /** Mean jobs that warm workers of a kind must have served before their speed is used. */
  private static final double MIN_JOBS_FOR_SPEED = 12;

  /** One warm worker in so many is enough for requests that are too heavy for the others. */
  private static final int MIN_WARM_DIVISOR = 3;

  /** A worker counts as warm a tenth after the time at which it is warm at the latest. */
  private static final double WARM_UP_SLACK = 1.1;

  private final PolicyContext context;
  private final Rules rules;
  private final WorkerTable workers;
  private final ServiceTimeEstimator times;
  private final LoadEstimator loads;

  /** The work of the requests that came, and of those light enough for warming workers. */
  private final MovingAverage meanCost;

  private final MovingAverage meanLightCost;

  /** The service rate of warm workers, by kind. */
  private final Map<String, ServiceRate> ratesByKind = new HashMap<>();

  private final DecayingSum workSent = new DecayingSum(Time.RATE_TIME_CONSTANT);

  /** This process's share of what the dispatcher may send, while two processes serve as one. */
  private double capacityFraction;

  private long warmCount;
  private long warmCountedAt = Time.NEVER;
  private long warmCountedVersion;

  SlowStartController(
      PolicyContext context,
      WorkerTable workers,
      ServiceTimeEstimator times,
      LoadEstimator loads,
      double capacityFraction) {
    this.context = context;
    this.rules = context.settings().rules();
    this.workers = workers;
    this.times = times;
    this.loads = loads;
    this.capacityFraction = capacityFraction;
    meanCost = new MovingAverage(times.meanRunTime());
    meanLightCost = new MovingAverage(times.meanRunTime());
  }

  double capacityFraction() {
    return capacityFraction;
  }

  void setCapacityFraction(double fraction) {
    capacityFraction = fraction;
  }

  /** A request has come. */
  void recordArrival(PendingRequest request) {
    double cost = cost(request);
    meanCost.add(cost);
    if (cost <= SlowStartLimiter.MAX_RELATIVE_WORK * meanCost.mean()) {
      meanLightCost.add(cost);
    }
  }

  /** A job has been served; {@code time} is from its start if that was told, else from its send. */
  void recordServed(AttemptState attempt, double time) {
    double work = attempt.request.arrival.expectedWork();
    if (!Double.isNaN(work) && isWarm(attempt.worker, attempt.sentAt)) {
      ratesByKind
          .computeIfAbsent(
              attempt.worker.endpoint.kind(), absent -> new ServiceRate(Time.RATE_TIME_CONSTANT))
          .add(time, work, context.now());
    }
  }

  /** A request is sent to a worker. */
  void recordSent(PendingRequest request, WorkerState worker) {
    worker.slowStart.consume(cost(request));
    workSent.add(times.expectedWork(request), context.now());
  }

  /** The mean work of the requests that may go to warming workers. */
  double meanLightCost() {
    return meanLightCost.mean();
  }

  boolean isWarm(WorkerState worker, long now) {
    return capacityFraction(worker, now) >= 1;
  }

  /** The least share of its capacity that a worker has; the list or an operator tells its start. */
  private double capacityFraction(WorkerState worker, long now) {
    long since = Math.max(worker.endpoint.startedAt(), worker.enabledAt);
    double age = now - since;
    if (since == 0 || age > rules.slowStartDuration() * WARM_UP_SLACK) {
      return 1;
    }
    double initial = rules.initialCapacityFraction();
    return Math.max(initial, initial + (1 - initial) * age / rules.slowStartDuration());
  }

  /** Whether a request may go to a worker now: always if that is warm. */
  boolean allows(PendingRequest request, WorkerState worker) {
    long now = context.now();
    double fraction = capacityFraction(worker, now);
    if (fraction >= 1) {
      return true;
    }
    double rate = capacityFraction * fraction * rules.overloadMultiple() * safeRate(worker);
    return worker.slowStart.allows(
        rate, meanLightCost.mean(), rules.overloadWindow(), cost(request), maxCost(), now);
  }

  /**
   * Work a microsecond that a warm worker can surely take from this dispatcher: what warm ones get
   * on average, or what its own slots do at least. The first alone fails a fleet that is mostly
   * cold, and a dispatcher that has sent little so far.
   */
  private double safeRate(WorkerState worker) {
    long now = context.now();
    // Up for less than the overload window, a dispatcher has seen too little to go by it.
    double observed =
        Math.max(
            Time.RATE_TIME_CONSTANT * loads.observedFraction(), (double) rules.overloadWindow());
    long sharers = Math.max(countWarm(), 1 + workers.size() / 2);
    double byWarmWorkers = workSent.valueAt(now) / observed / sharers;
    // A worker that has reported nothing yet counts as a typical one.
    double byOwnSlots =
        loads.slots(worker) * speed(worker.endpoint.kind()) / context.settings().dispatchers();
    return Math.max(MARGIN_BY_WARM_WORKERS * byWarmWorkers, MARGIN_BY_OWN_SLOTS * byOwnSlots);
  }

  /** Counted once for each list and point in time, since every warming worker asks for it. */
  private long countWarm() {
    long now = context.now();
    if (warmCountedAt != now || warmCountedVersion != workers.version()) {
      warmCount = workers.all().stream().filter(worker -> isWarm(worker, now)).count();
      warmCountedAt = now;
      warmCountedVersion = workers.version();
    }
    return warmCount;
  }

  /** What a request counts for: its announced work, or that of its class. */
  private double cost(PendingRequest request) {
    double announced = request.arrival.expectedWork();
    return Double.isNaN(announced)
        ? times.expectedWork(request)
        : request.arrival.slots() * announced;
  }

  /** The heaviest request for a warming worker; unlimited where too few others are warm. */
  private double maxCost() {
    boolean enoughWarm = MIN_WARM_DIVISOR * countWarm() >= workers.size();
    return enoughWarm
        ? SlowStartLimiter.MAX_RELATIVE_WORK * meanCost.mean()
        : Double.POSITIVE_INFINITY;
  }

  /**
   * The work that a slot of a warm worker of this kind does in its time, or the least of any while
   * little is known. The estimate is low: the time of a job includes its waits.
   */
  private double speed(String kind) {
    long now = context.now();
    ServiceRate rate = ratesByKind.get(kind);
    double enough = MIN_JOBS_FOR_SPEED * times.meanRunTime();
    if (rate == null || rate.workDone(now) < enough) {
      return MIN_SPEED;
    }
    return Math.max(MIN_SPEED, rate.workDone(now) / rate.timeSpent(now));
  }
}
