package loomreel.decision;

import java.util.HashMap;
import java.util.Map;
import loomreel.decision.Settings.Rules;

/**
 * Limits what is sent to workers that warm up, so that all dispatchers together stay under the load
 * at which such a worker fails; {@link SlowStartLimiter} states the bound. Work is slots times
 * microseconds.
 */
final class SlowStartController {
  /** The fraction of the overload limit that is used, where it is estimated from warm workers. */
  private static final double WARM_WORKER_RATE_MARGIN = 0.33;

  /** The same where it is estimated from the worker's own slots. */
  private static final double OWN_SLOTS_RATE_MARGIN = 0.8;

  /** The work that a slot of the slowest machine does per unit of time, where slots share cores. */
  private static final double MIN_SPEED = 0.45;

  /** Mean jobs that warm workers of a kind must have served before their speed is used. */
  private static final double MIN_JOBS_FOR_SPEED = 12;

  /** One warm worker in this many is enough for requests that are too heavy for the others. */
  private static final int MIN_WARM_WORKERS_DIVISOR = 3;

  /** A worker counts as warm after this many times the longest duration of a slow start. */
  private static final double WARM_UP_DURATION_FACTOR = 1.1;

  /** The work is spread over at least the fleet divided by this, however few workers are warm. */
  private static final int MIN_SERVING_WORKERS_DIVISOR = 2;

  private final PolicyContext context;
  private final Rules rules;
  private final WorkerTable workers;
  private final ServiceTimeEstimator serviceTimes;
  private final LoadEstimator workerLoads;

  /** The mean work of all requests. */
  private final MovingAverage meanWork;

  /** The mean work of the requests that are light enough for warming workers. */
  private final MovingAverage meanLightWork;

  /** The service rate of warm workers, by kind. */
  private final Map<String, ServiceRate> ratesByKind = new HashMap<>();

  private final DecayingSum workSent = new DecayingSum(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  /** The fraction of the dispatcher's allowance for this process: 1, unless two serve as one. */
  private double capacityFraction;

  private long warmWorkerCount;
  private long warmCountedAt = Timestamp.NEVER;
  private long warmCountedVersion;

  SlowStartController(
      PolicyContext context,
      WorkerTable workers,
      ServiceTimeEstimator serviceTimes,
      LoadEstimator workerLoads,
      double capacityFraction) {
    this.context = context;
    this.rules = context.settings().rules();
    this.workers = workers;
    this.serviceTimes = serviceTimes;
    this.workerLoads = workerLoads;
    this.capacityFraction = capacityFraction;
    meanWork = new MovingAverage(serviceTimes.meanRunTime());
    meanLightWork = new MovingAverage(serviceTimes.meanRunTime());
  }

  double capacityFraction() {
    return capacityFraction;
  }

  void setCapacityFraction(double fraction) {
    capacityFraction = fraction;
  }

  /** A request has arrived. */
  void recordArrival(PendingRequest request) {
    double work = work(request);
    meanWork.add(work);
    if (work <= SlowStartLimiter.MAX_RELATIVE_WORK * meanWork.mean()) {
      meanLightWork.add(work);
    }
  }

  /** A job has been served; the time counts from its start, or its send if none was reported. */
  void recordServed(AttemptState attempt, double serviceTime) {
    double announcedWork = attempt.request.arrival.expectedWork();
    if (!Double.isNaN(announcedWork) && isWarm(attempt.worker, attempt.sentAt)) {
      ratesByKind
          .computeIfAbsent(
              attempt.worker.endpoint().kind(),
              absent -> new ServiceRate(DecayingSum.RATE_TIME_CONSTANT_MICROS))
          .add(serviceTime, announcedWork, context.now());
    }
  }

  /** A request is sent to a worker. */
  void recordSent(PendingRequest request, WorkerState worker) {
    worker.slowStartLimiter.consume(work(request));
    workSent.add(serviceTimes.expectedWork(request), context.now());
  }

  /** The mean work of the requests that may go to warming workers. */
  double meanLightWork() {
    return meanLightWork.mean();
  }

  boolean isWarm(WorkerState worker, long now) {
    return warmUpFraction(worker, now) >= 1;
  }

  /** The least fraction of its full capacity that a worker has; 1 once it is warm. */
  private double warmUpFraction(WorkerState worker, long now) {
    long startedAt = worker.warmUpStartedAt();
    double age = now - startedAt;
    if (startedAt == 0 || age > rules.slowStartDuration() * WARM_UP_DURATION_FACTOR) {
      return 1;
    }
    double initialFraction = rules.initialCapacityFraction();
    return Math.max(
        initialFraction,
        initialFraction + (1 - initialFraction) * age / rules.slowStartDuration());
  }

  /** Whether a request may go to a worker now: always if that is warm. */
  boolean allows(PendingRequest request, WorkerState worker) {
    long now = context.now();
    double fraction = warmUpFraction(worker, now);
    if (fraction >= 1) {
      return true;
    }
    double rate = capacityFraction * fraction * rules.overloadMultiple() * safeRate(worker);
    return worker.slowStartLimiter.allows(
        rate, meanLightWork.mean(), rules.overloadWindow(), work(request), maxWork(), now);
  }

  /**
   * Work per microsecond that a warm worker can take from this dispatcher at least: what warm
   * workers get on average, or what its own slots do at least. The first alone is too low in a
   * fleet that is mostly cold, and for a dispatcher that has sent little so far.
   */
  private double safeRate(WorkerState worker) {
    long now = context.now();
    // The average needs at least the overload window.
    double observedMicros =
        Math.max(
            DecayingSum.RATE_TIME_CONSTANT_MICROS * workerLoads.observedFraction(),
            (double) rules.overloadWindow());
    long servingWorkers =
        Math.max(countWarmWorkers(), 1 + workers.size() / MIN_SERVING_WORKERS_DIVISOR);
    double rateByWarmWorkers = workSent.valueAt(now) / observedMicros / servingWorkers;
    // A worker that has reported nothing yet counts as a typical one.
    double rateByOwnSlots =
        workerLoads.slots(worker)
            * speed(worker.endpoint().kind())
            / context.settings().dispatchers();
    return Math.max(
        WARM_WORKER_RATE_MARGIN * rateByWarmWorkers, OWN_SLOTS_RATE_MARGIN * rateByOwnSlots);
  }

  /** Counted once for each list and point in time, since every warming worker needs it. */
  private long countWarmWorkers() {
    long now = context.now();
    if (warmCountedAt != now || warmCountedVersion != workers.version()) {
      warmWorkerCount = workers.all().stream().filter(worker -> isWarm(worker, now)).count();
      warmCountedAt = now;
      warmCountedVersion = workers.version();
    }
    return warmWorkerCount;
  }

  /** The work that a request counts for: what it announces, or the mean of its class. */
  private double work(PendingRequest request) {
    double announcedWork = request.arrival.expectedWork();
    return Double.isNaN(announcedWork)
        ? serviceTimes.expectedWork(request)
        : request.arrival.slots() * announcedWork;
  }

  /** The heaviest request for a warming worker; unlimited where too few others are warm. */
  private double maxWork() {
    boolean enoughWarmWorkers = MIN_WARM_WORKERS_DIVISOR * countWarmWorkers() >= workers.size();
    return enoughWarmWorkers
        ? SlowStartLimiter.MAX_RELATIVE_WORK * meanWork.mean()
        : Double.POSITIVE_INFINITY;
  }

  /**
   * The work that a slot of a warm worker of this kind does in its time, or the least of any while
   * little is known. The estimate is low: the time of a job includes its waits.
   */
  private double speed(String kind) {
    long now = context.now();
    ServiceRate rate = ratesByKind.get(kind);
    double minWork = MIN_JOBS_FOR_SPEED * serviceTimes.meanRunTime();
    if (rate == null || rate.workDone(now) < minWork) {
      return MIN_SPEED;
    }
    return Math.max(MIN_SPEED, rate.workDone(now) / rate.timeSpent(now));
  }
}
