package loomreel.decision;

import loomreel.decision.Settings.LoadReporting;

/**
 * Estimates the loads of workers. The load of a worker is a fraction of its slots, and it exceeds 1
 * if jobs are queued. If workers report their load, the estimate for a worker is computed from its
 * last report and from the attempts that this dispatcher has sent to it since then. As the last
 * report becomes older, the estimate approaches the mean load of all workers. If workers do not
 * report their load, the estimate is computed from the delays of job starts, from rejected
 * attempts, and from this dispatcher's open attempts. In both cases, the estimate for a worker is
 * increased if its jobs take longer than jobs at other workers. Times are in microseconds.
 */
final class LoadEstimator {
  /** The assumed number of slots of a worker before the first load report of any worker. */
  private static final double DEFAULT_SLOTS = 4;

  /** The assumed mean load before the first load report, if workers report their load. */
  private static final double INITIAL_MEAN_LOAD = 0.5;

  /**
   * The time constant, in microseconds, with which the estimate changes from the mean load of one
   * worker to the mean load of all workers, as the last sample of the worker becomes older.
   */
  private static final double LOAD_DECAY_TIME_CONSTANT_MICROS = 0.8e6;

  /**
   * The time constant with which the weight of a worker's last load sample decays, as a multiple of
   * the mean run time of jobs.
   */
  private static final double REPORT_TIME_CONSTANT_RUN_TIMES = 2;

  /**
   * The latency ratio up to which the estimated load of a worker has no penalty. If the ratio is
   * larger, the excess is added to the estimated load. {@link LatencyEstimator#latencyRatio}
   * defines the ratio.
   */
  private static final double MAX_UNPENALIZED_LATENCY_RATIO = 1.25;

  /**
   * The maximum fraction of a worker's slots that the jobs of one key may be expected to occupy. If
   * the demand for a key is higher, its jobs are spread over more workers.
   */
  private static final double MAX_WORKER_FRACTION_PER_KEY = 0.25;

  /**
   * The number of standard deviations by which the observed demand for a key is reduced. The
   * remaining demand is unlikely to be due to chance.
   */
  private static final double DEMAND_NOISE_DEVIATIONS = 1.5;

  /**
   * The index of the first request class. The mean run time of this class is used to compute the
   * standard deviation of the demand for every key.
   */
  private static final int FIRST_CLASS = 0;

  /**
   * The weight of a new load report in the mean load and in the mean number of slots of all
   * workers.
   */
  private static final double SAMPLE_WEIGHT = 0.02;

  /**
   * The maximum value with which a reported load is counted in the mean load of all workers. A
   * higher load is counted as this value.
   */
  private static final double MAX_LOAD_IN_MEAN = 2;

  /** A worker counts as full if it reports fewer free slots than this. */
  private static final double MIN_FREE_SLOTS = 0.5;

  /** The minimum load that is recorded for a worker that counts as full. */
  private static final double FULL_LOAD = 1;

  private final PolicyContext context;
  private final ServiceTimeEstimator serviceTimes;
  private final LatencyEstimator latencyEstimator;
  private final TrafficEstimator trafficEstimator;
  private final long startedAt;
  private double meanLoad;

  /** The mean number of slots of all workers; 0 before the first load report. */
  private double meanSlots;

  LoadEstimator(PolicyContext context, WorkerTable workers, ServiceTimeEstimator serviceTimes) {
    this.context = context;
    this.serviceTimes = serviceTimes;
    latencyEstimator = new LatencyEstimator(serviceTimes);
    trafficEstimator = new TrafficEstimator(context.settings().dispatchers(), workers);
    startedAt = context.now();
    meanLoad = reportsLoad() ? INITIAL_MEAN_LOAD : 0;
  }

  private boolean reportsLoad() {
    return context.settings().loadReporting() != LoadReporting.NONE;
  }

  /**
   * Returns the mean load of all workers, as a fraction of their slots. It is a moving average of
   * the loads that workers report. If workers do not report their load, the result is 0.
   */
  double meanLoad() {
    return meanLoad;
  }

  /**
   * Returns the number of slots of a worker. If the number is not known, returns the mean number of
   * slots of all workers. Before the first report of any worker, returns {@link #DEFAULT_SLOTS}.
   */
  double slots(WorkerState worker) {
    return worker.load.hasSlots() ? worker.load.slots() : typicalSlots();
  }

  private double typicalSlots() {
    return meanSlots > 0 ? meanSlots : DEFAULT_SLOTS;
  }

  /**
   * Returns the correction for a {@link DecayingSum} that is too low because this dispatcher
   * started recently. If amounts are added to a sum at a constant rate, the sum grows from 0 to a
   * steady value. The result is the fraction of the steady value that the sum has reached now. A
   * sum divided by the result is therefore an estimate of its steady value. The result is greater
   * than 0 and approaches 1. It applies to sums that were 0 at the start and have the time constant
   * {@link DecayingSum#RATE_TIME_CONSTANT_MICROS}.
   */
  double observedFraction() {
    // Unlike in the other methods, the age is negative here: it is the time since the start of the
    // dispatcher, multiplied by -1. The additional microsecond keeps the result above 0.
    double age = startedAt - context.now() - 1;
    return 1 - Math.exp(age / DecayingSum.RATE_TIME_CONSTANT_MICROS);
  }

  /**
   * Returns the number of workers over which the jobs of a key should be spread. The demand of all
   * dispatchers is estimated as the demand at this dispatcher multiplied by the number of
   * dispatchers. The demand at a single dispatcher does not suffice, because all dispatchers
   * together can fill the workers that a key hashes to while the demand at each dispatcher is still
   * low. Demand that may be due to chance is not counted. The result is 0 if no demand is counted.
   */
  int workersNeeded(KeyAffinity key) {
    double observedDemand = key.demandAt(context.now());
    double demandDeviation =
        Math.sqrt(
            observedDemand
                * serviceTimes.meanRunTime(FIRST_CLASS)
                / DecayingSum.RATE_TIME_CONSTANT_MICROS);
    double demand = Math.max(0, observedDemand - DEMAND_NOISE_DEVIATIONS * demandDeviation);
    double keyCapacity = typicalSlots() * MAX_WORKER_FRACTION_PER_KEY;
    int dispatchers = context.settings().dispatchers();
    return (int) Math.ceil(demand / observedFraction() * dispatchers / keyCapacity);
  }

  /**
   * Returns the traffic of this dispatcher divided by the mean traffic of all dispatchers. The
   * result is 1 unless this dispatcher is hot; {@link TrafficEstimator} defines when it is hot.
   */
  double trafficFactor() {
    return trafficEstimator.factor(context.now());
  }

  /**
   * Records a job that was served.
   *
   * @param serviceTime the time from the start of the job to its end; if no start was reported, the
   *     time from the send of the attempt to its end
   */
  void recordServed(AttemptState attempt, double serviceTime) {
    latencyEstimator.recordServed(attempt, serviceTime, context.now());
  }

  /**
   * Records a load report of a worker. Does nothing if the report is null or does not contain the
   * number of free slots.
   */
  void recordReport(WorkerState worker, WorkerLoad report) {
    if (report == null || Double.isNaN(report.freeSlots())) {
      return;
    }
    if (!Double.isNaN(report.activeJobs())) {
      trafficEstimator.recordReportedJobs(report.activeJobs(), context.now());
    }
    double freeSlots = Math.max(0, report.freeSlots());
    double queuedJobs = Double.isNaN(report.queuedJobs()) ? 0 : Math.max(0, report.queuedJobs());
    learnSlots(worker.load, report, freeSlots, queuedJobs);
    double slots = worker.load.slots();
    double load = Math.max(0, slots - freeSlots + queuedJobs) / slots;
    worker.load.startFrom(meanLoad, context.now());
    recordSample(worker, freeSlots < MIN_FREE_SLOTS ? Math.max(FULL_LOAD, load) : load);
    meanLoad += SAMPLE_WEIGHT * (Math.min(MAX_LOAD_IN_MEAN, worker.load.lastLoad()) - meanLoad);
  }

  private void learnSlots(
      WorkerLoadHistory load, WorkerLoad report, double freeSlots, double queuedJobs) {
    if (Double.isNaN(report.activeJobs())) {
      load.learnMinimumSlots(freeSlots);
    } else {
      load.learnSlots(Math.max(1, report.activeJobs() - queuedJobs + freeSlots));
    }
    boolean isFirst = meanSlots == 0;
    meanSlots = isFirst ? load.slots() : meanSlots + SAMPLE_WEIGHT * (load.slots() - meanSlots);
  }

  /**
   * Records one sample of the load of a worker.
   *
   * @param load the load, as a fraction of the worker's slots
   */
  void recordSample(WorkerState worker, double load) {
    worker.load.addSample(load, context.now());
  }

  /**
   * Returns the estimated load of a worker, as a fraction of its slots. The result is infinite if
   * the start of a job that this dispatcher has sent to the worker is overdue.
   */
  double estimate(WorkerState worker) {
    long now = context.now();
    double ownSlots = 0;
    for (AttemptState attempt : worker.openAttempts()) {
      if (isStartOverdue(attempt)) {
        return Double.POSITIVE_INFINITY;
      }
      ownSlots += attempt.request.arrival.slots();
    }
    double penalty =
        Math.max(0, latencyEstimator.latencyRatio(worker, now) - MAX_UNPENALIZED_LATENCY_RATIO);
    double age = now - worker.load.sampledAt();
    double decayedMean = decayedMeanLoad(worker.load, age);
    if (!reportsLoad()) {
      return decayedMean + ownSlots / slots(worker) + penalty;
    }
    double reportWeight = reportWeight(age);
    double unreportedLoad = worker.unreportedSlots.valueAt(now) / slots(worker);
    return reportWeight * worker.load.lastLoad()
        + (1 - reportWeight) * decayedMean
        + unreportedLoad
        + penalty;
  }

  /**
   * Returns a load between the mean load of a worker and the mean load of all workers. The older
   * the last sample of the worker is, the closer is the result to the mean load of all workers.
   *
   * @param age the time since the last sample of the worker
   */
  private double decayedMeanLoad(WorkerLoadHistory load, double age) {
    double decay = Math.exp(-age / LOAD_DECAY_TIME_CONSTANT_MICROS);
    return meanLoad + (load.meanLoad() - meanLoad) * decay;
  }

  /**
   * Returns the weight of a worker's last load sample in the estimate, from 0 to 1. The weight
   * decays with the age of the information. A load report is assumed to have the age {@link
   * WorkerTable#REPORT_DELAY_MICROS} already when it arrives.
   *
   * @param age the time since the last sample of the worker
   */
  private double reportWeight(double age) {
    double timeConstant = REPORT_TIME_CONSTANT_RUN_TIMES * serviceTimes.meanRunTime();
    return Math.exp(-(age + WorkerTable.REPORT_DELAY_MICROS) / timeConstant);
  }

  private boolean isStartOverdue(AttemptState attempt) {
    return context.settings().reportsJobStart()
        && !attempt.hasStarted()
        && context.now() - attempt.sentAt > serviceTimes.startTimeout();
  }
}
