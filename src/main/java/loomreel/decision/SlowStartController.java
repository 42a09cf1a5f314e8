package loomreel.decision;

import java.util.HashMap;
import java.util.Map;
import loomreel.decision.Settings.Rules;

/**
 * Limits the work that is sent to workers that warm up, so that all dispatchers together stay below
 * the load at which such a worker fails. {@link SlowStartLimiter} describes this bound. Work is the
 * number of slots multiplied by the run time in microseconds.
 */
final class SlowStartController {
  /**
   * The fraction of the overload limit that is used if the limit is estimated from the work of warm
   * workers.
   */
  private static final double WARM_WORKER_RATE_MARGIN = 0.33;

  /**
   * The fraction of the overload limit that is used if the limit is estimated from the worker's own
   * slots.
   */
  private static final double OWN_SLOTS_RATE_MARGIN = 0.8;

  /** The work that a slot of the slowest machine does per unit of time if its slots share cores. */
  private static final double MIN_SPEED = 0.45;

  /**
   * The amount of work, in jobs of mean run time, that warm workers of a kind must have served
   * before their measured speed is used.
   */
  private static final double MIN_JOBS_FOR_SPEED = 12;

  /**
   * Requests that are too heavy for warming workers are kept from them only if the number of warm
   * workers is at least the number of listed workers divided by this.
   */
  private static final int MIN_WARM_WORKERS_DIVISOR = 3;

  /**
   * A worker is warm once its age exceeds the maximum slow-start duration multiplied by this
   * factor.
   */
  private static final double WARM_UP_DURATION_FACTOR = 1.1;

  /**
   * The work is assumed to be spread over more workers than the number of listed workers divided by
   * this, however few of them are warm.
   */
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

  /** The service rates of warm workers, by the kind of worker. */
  private final Map<String, ServiceRate> ratesByKind = new HashMap<>();

  /** The work of the attempts that this dispatcher has sent. */
  private final DecayingSum workSent = new DecayingSum(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  /**
   * The fraction of the dispatcher's allowance that this process may use. It is 1 unless two
   * processes serve as the same dispatcher.
   */
  private double capacityFraction;

  /** The cached result of {@link #countWarmWorkers}. */
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

  /** Returns the fraction of the dispatcher's slow-start allowance that this process may use. */
  double capacityFraction() {
    return capacityFraction;
  }

  /**
   * Sets the fraction of the dispatcher's slow-start allowance that this process may use, from 0 to
   * 1.
   */
  void setCapacityFraction(double fraction) {
    capacityFraction = fraction;
  }

  /** Records the work of a request that has arrived. */
  void recordArrival(PendingRequest request) {
    double work = work(request);
    meanWork.add(work);
    if (work <= SlowStartLimiter.MAX_RELATIVE_WORK * meanWork.mean()) {
      meanLightWork.add(work);
    }
  }

  /**
   * Records a job that was served. Ignores a job whose request announced no work, and a job of a
   * worker that was not warm when the attempt was sent.
   *
   * @param serviceTime the time from the start of the job to its end, or from the send if no start
   *     was reported
   */
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

  /** Records that a request is sent to a worker. */
  void recordSent(PendingRequest request, WorkerState worker) {
    worker.slowStartLimiter.consume(work(request));
    workSent.add(serviceTimes.expectedWork(request), context.now());
  }

  /** Returns the mean work of the requests that may be sent to warming workers. */
  double meanLightWork() {
    return meanLightWork.mean();
  }

  /** Returns whether a worker has its full capacity. */
  boolean isWarm(WorkerState worker, long now) {
    return warmUpFraction(worker, now) >= 1;
  }

  /**
   * Returns a lower bound of the fraction of its full capacity that a worker has. The result is at
   * least 1 if the worker is warm.
   */
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

  /**
   * Returns whether a request may be sent to a worker now. The result is true for every warm
   * worker.
   */
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
   * Returns an estimate of the work per microsecond that this dispatcher can at least send to a
   * worker that is warm. It is the larger of two estimates, each multiplied by its margin. The
   * first is the mean rate of the work that this dispatcher sends to warm workers. The second is
   * this dispatcher's share of the work that the worker's own slots do at least. The first estimate
   * alone is too low if most workers are cold, and for a dispatcher that has sent little work so
   * far.
   */
  private double safeRate(WorkerState worker) {
    long now = context.now();
    // The mean rate is taken over at least the overload window.
    double observedMicros =
        Math.max(
            DecayingSum.RATE_TIME_CONSTANT_MICROS * workerLoads.observedFraction(),
            (double) rules.overloadWindow());
    long servingWorkers =
        Math.max(countWarmWorkers(), 1 + workers.size() / MIN_SERVING_WORKERS_DIVISOR);
    double rateByWarmWorkers = workSent.valueAt(now) / observedMicros / servingWorkers;
    // A worker that has not reported its slots is assumed to have the typical number.
    double rateByOwnSlots =
        workerLoads.slots(worker)
            * speed(worker.endpoint().kind())
            / context.settings().dispatchers();
    return Math.max(
        WARM_WORKER_RATE_MARGIN * rateByWarmWorkers, OWN_SLOTS_RATE_MARGIN * rateByOwnSlots);
  }

  /**
   * Returns the number of warm workers. The result is cached for one point in time and one version
   * of the worker table, because it is needed for every warming worker.
   */
  private long countWarmWorkers() {
    long now = context.now();
    if (warmCountedAt != now || warmCountedVersion != workers.version()) {
      warmWorkerCount = workers.all().stream().filter(worker -> isWarm(worker, now)).count();
      warmCountedAt = now;
      warmCountedVersion = workers.version();
    }
    return warmWorkerCount;
  }

  /**
   * Returns the work of a request: the announced work, or the expected work of its class if none
   * was announced.
   */
  private double work(PendingRequest request) {
    double announcedWork = request.arrival.expectedWork();
    return Double.isNaN(announcedWork)
        ? serviceTimes.expectedWork(request)
        : request.arrival.slots() * announcedWork;
  }

  /**
   * Returns the maximum work of a request for a warming worker; infinite if too few other workers
   * are warm.
   */
  private double maxWork() {
    boolean enoughWarmWorkers = MIN_WARM_WORKERS_DIVISOR * countWarmWorkers() >= workers.size();
    return enoughWarmWorkers
        ? SlowStartLimiter.MAX_RELATIVE_WORK * meanWork.mean()
        : Double.POSITIVE_INFINITY;
  }

  /**
   * Returns the work that a slot of a warm worker of a kind does per unit of time, or {@link
   * #MIN_SPEED} while little is known. The estimate is conservative, because the service time of a
   * job includes the time that the job waits.
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
