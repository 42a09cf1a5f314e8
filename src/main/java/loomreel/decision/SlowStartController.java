package loomreel.decision;

import java.util.HashMap;
import java.util.Map;
import loomreel.decision.Settings.Rules;

/**
 * Limits the work that is sent to workers that warm up. A worker is warming from its start until it
 * has its full capacity, and warm afterwards. A warming worker fails if it receives too much work
 * within the overload window; {@link Rules#overloadMultiple()} describes this load. The limits keep
 * the work that all dispatchers together send below this load. {@link SlowStartLimiter} explains
 * how, and names the exceptions.
 *
 * <p>Unless stated otherwise, the work of a request is the number of its slots multiplied by its
 * run time in microseconds. The run time is the announced one, or the mean run time of the class if
 * the request announces none.
 */
final class SlowStartController {
  /**
   * The safety factor of a rate that is estimated from the work that this dispatcher has sent to
   * all workers. The rate is the work per microsecond that this dispatcher can send to one worker
   * once the worker is warm. {@link #safeRate} multiplies the estimate by this factor.
   */
  private static final double SENT_WORK_RATE_MARGIN = 0.33;

  /**
   * The safety factor of a rate that is estimated from the number of slots of a warming worker. The
   * rate is the work per microsecond that this dispatcher can send to the worker once the worker is
   * warm. {@link #safeRate} multiplies the estimate by this factor.
   */
  private static final double OWN_SLOTS_RATE_MARGIN = 0.8;

  /**
   * The lowest speed of a slot that is assumed, in work per unit of time. It is the speed of a slot
   * of the slowest machine if the slots of the machine share cores.
   */
  private static final double MIN_SPEED = 0.45;

  /**
   * The work that the warm workers of a kind must have served recently before their measured speed
   * is used, as a number of jobs of mean run time.
   */
  private static final double MIN_JOBS_FOR_SPEED = 12;

  /**
   * The number of listed workers is divided by this number to get the minimum number of warm
   * workers. While at least this minimum is warm, a warming worker receives no request that is
   * heavier than {@link SlowStartLimiter#MAX_RELATIVE_WORK} times the mean work. While fewer
   * workers are warm, a warming worker may receive heavier requests too.
   */
  private static final int MIN_WARM_WORKERS_DIVISOR = 3;

  /**
   * The age beyond which a worker is warm without a calculation of its capacity, as a multiple of
   * {@link Rules#slowStartDuration()}. At an age of {@link Rules#slowStartDuration()}, the
   * calculated capacity is already the full capacity.
   */
  private static final double WARM_UP_DURATION_FACTOR = 1.1;

  /**
   * The divisor for the minimum number of workers over which the work that this dispatcher sends is
   * assumed to be spread. The minimum is 1 plus the number of listed workers divided by this
   * divisor, rounded down. If more workers than the minimum are warm, the work is assumed to be
   * spread over the warm workers.
   */
  private static final int MIN_SERVING_WORKERS_DIVISOR = 2;

  private final PolicyContext context;
  private final Rules rules;
  private final WorkerTable workers;
  private final ServiceTimeEstimator serviceTimes;
  private final LoadEstimator workerLoads;

  /** The moving average of the work of all requests that arrive. */
  private final MovingAverage meanWork;

  /**
   * The moving average of the work of light requests. A request is light if its work is at most
   * {@link SlowStartLimiter#MAX_RELATIVE_WORK} times {@link #meanWork} when it arrives.
   */
  private final MovingAverage meanLightWork;

  /**
   * The service times and the work of the jobs that warm workers have served, by the kind of
   * worker.
   */
  private final Map<String, ServiceRate> ratesByKind = new HashMap<>();

  /**
   * The work of the attempts that this dispatcher has sent to all workers, warm or not. The run
   * time of each attempt is counted as the mean run time of its class.
   */
  private final DecayingSum workSent = new DecayingSum(DecayingSum.RATE_TIME_CONSTANT_MICROS);

  /**
   * The fraction, from 0 to 1, of the dispatcher's rate limit for a warming worker that this
   * process may use. The fraction is 1 unless a second process serves as the same dispatcher, as in
   * a hot restart.
   */
  private double processShare;

  /** The last result of {@link #countWarmWorkers}, which is cached. */
  private long warmWorkerCount;

  private long warmCountedAt = Timestamp.NEVER;
  private long warmCountedVersion;

  SlowStartController(
      PolicyContext context,
      WorkerTable workers,
      ServiceTimeEstimator serviceTimes,
      LoadEstimator workerLoads,
      double processShare) {
    this.context = context;
    this.rules = context.settings().rules();
    this.workers = workers;
    this.serviceTimes = serviceTimes;
    this.workerLoads = workerLoads;
    this.processShare = processShare;
    meanWork = new MovingAverage(serviceTimes.meanRunTime());
    meanLightWork = new MovingAverage(serviceTimes.meanRunTime());
  }

  /**
   * Returns the fraction, from 0 to 1, of the dispatcher's rate limit for a warming worker that
   * this process may use. The fraction is 1 unless a second process serves as the same dispatcher,
   * as in a hot restart.
   */
  double processShare() {
    return processShare;
  }

  /**
   * Sets the fraction of the dispatcher's rate limit for a warming worker that this process may
   * use.
   *
   * @param fraction the fraction, from 0 to 1
   */
  void setProcessShare(double fraction) {
    processShare = fraction;
  }

  /** Adds the work of a request that has arrived to the moving averages. */
  void recordArrival(PendingRequest request) {
    double work = work(request);
    meanWork.add(work);
    if (work <= SlowStartLimiter.MAX_RELATIVE_WORK * meanWork.mean()) {
      meanLightWork.add(work);
    }
  }

  /**
   * Records a job that was served, to measure the speed of the slots of its worker's kind. Ignores
   * a job whose request announced no work. Also ignores a job if its worker was not warm when the
   * attempt was sent. The recorded work is the announced work of the job, which is not multiplied
   * by the number of its slots.
   *
   * @param serviceTime the time from the start of the job to its end; if no start was reported, the
   *     time from the send of the attempt to its end
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

  /**
   * Records that a request is sent to a worker, and deducts its work from the slow-start allowance
   * of the worker.
   */
  void recordSent(PendingRequest request, WorkerState worker) {
    worker.slowStartLimiter.consume(work(request));
    workSent.add(serviceTimes.expectedWork(request), context.now());
  }

  /**
   * Returns the moving average of the work of the requests that are light enough for warming
   * workers.
   */
  double meanLightWork() {
    return meanLightWork.mean();
  }

  /**
   * Returns whether a worker is warm at the given time, that is, whether it has its full capacity.
   */
  boolean isWarm(WorkerState worker, long now) {
    return warmUpFraction(worker, now) >= 1;
  }

  /**
   * Returns the capacity that a worker is assumed to have, as a fraction of its full capacity. If
   * the result is at least 1, the worker is warm. If the result is less than 1, the worker is
   * warming, and the result is a lower bound of its capacity.
   *
   * <p>The result is {@link Rules#initialCapacityFraction()} when the warm-up starts and grows
   * linearly with time. It is 1 after {@link Rules#slowStartDuration()}, and then exceeds 1 until
   * {@link #WARM_UP_DURATION_FACTOR} times that duration has passed. After that time, the result is
   * exactly 1. It is also 1 if {@link WorkerState#warmUpStartedAt()} is 0, that is, if no warm-up
   * is known.
   */
  private double warmUpFraction(WorkerState worker, long now) {
    long startedAt = worker.warmUpStartedAt();
    double age = now - startedAt;
    if (startedAt == 0 || age > rules.slowStartDuration() * WARM_UP_DURATION_FACTOR) {
      return 1;
    }
    double initialFraction = rules.initialCapacityFraction();
    return Math.max(
        initialFraction, initialFraction + (1 - initialFraction) * age / rules.slowStartDuration());
  }

  /**
   * Returns whether the slow-start limit allows a request to be sent to a worker now. The result is
   * true if the worker is warm. If the worker is warming, its allowance is refilled first.
   */
  boolean allows(PendingRequest request, WorkerState worker) {
    long now = context.now();
    double fraction = warmUpFraction(worker, now);
    if (fraction >= 1) {
      return true;
    }
    double rate = processShare * fraction * rules.overloadMultiple() * safeRate(worker);
    return worker.slowStartLimiter.allows(
        rate, meanLightWork.mean(), rules.overloadWindow(), work(request), maxWork(), now);
  }

  /**
   * Returns a low estimate of the work per microsecond that this dispatcher can send to a worker
   * once the worker is warm. The result is the larger of two estimates, each multiplied by its
   * safety factor.
   *
   * <p>The first estimate is the rate of the work that this dispatcher has sent to all workers,
   * divided by the number of workers that are assumed to serve it. This estimate alone is too low
   * if most workers are warming, or if this dispatcher has sent little work so far.
   *
   * <p>The second estimate is a low estimate of the work per microsecond that all slots of the
   * worker can do, divided by the number of dispatchers.
   */
  private double safeRate(WorkerState worker) {
    long now = context.now();
    // The rate of the sent work is averaged over at least the overload window.
    double observedMicros =
        Math.max(
            DecayingSum.RATE_TIME_CONSTANT_MICROS * workerLoads.observedFraction(),
            (double) rules.overloadWindow());
    long servingWorkers =
        Math.max(countWarmWorkers(), 1 + workers.size() / MIN_SERVING_WORKERS_DIVISOR);
    double rateBySentWork = workSent.valueAt(now) / observedMicros / servingWorkers;
    // If the number of slots of the worker is unknown, an estimate from other workers is used.
    double rateByOwnSlots =
        workerLoads.slots(worker)
            * speed(worker.endpoint().kind())
            / context.settings().dispatchers();
    return Math.max(SENT_WORK_RATE_MARGIN * rateBySentWork, OWN_SLOTS_RATE_MARGIN * rateByOwnSlots);
  }

  /**
   * Returns the number of listed workers that are warm. The result is needed for every warming
   * worker, so it is cached until the time or the version of the worker table changes.
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
   * Returns the work of a request, which is the number of its slots multiplied by its announced
   * work. If the request announces no work, the mean run time of its class replaces the announced
   * work.
   */
  private double work(PendingRequest request) {
    double announcedWork = request.arrival.expectedWork();
    return Double.isNaN(announcedWork)
        ? serviceTimes.expectedWork(request)
        : request.arrival.slots() * announcedWork;
  }

  /**
   * Returns the maximum work of a request that may be sent to a warming worker. The result is
   * infinite if too few workers are warm to take the heavier requests.
   */
  private double maxWork() {
    boolean enoughWarmWorkers = MIN_WARM_WORKERS_DIVISOR * countWarmWorkers() >= workers.size();
    return enoughWarmWorkers
        ? SlowStartLimiter.MAX_RELATIVE_WORK * meanWork.mean()
        : Double.POSITIVE_INFINITY;
  }

  /**
   * Returns the speed of a slot of a warm worker of a kind, in work per unit of time. The result is
   * at least {@link #MIN_SPEED}, and equal to it while warm workers of the kind have served little
   * work. The measured speed is a low estimate, because the service time of a job includes the time
   * that the job waits.
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
