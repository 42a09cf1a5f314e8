package loomreel.decision;

import loomreel.decision.Settings.LoadReporting;

/**
 * Estimates the loads of workers, as fractions of their slots, from their load reports and from the
 * attempts that this dispatcher has sent since the reports. As the last report of a worker ages,
 * its estimate approaches the mean load of all workers. Times are in microseconds.
 */
final class LoadEstimator {
  /** The assumed number of slots of a worker before the first load report of any worker. */
  private static final double DEFAULT_SLOTS = 4;

  /** The assumed mean load before the first load report, if workers report their load. */
  private static final double INITIAL_MEAN_LOAD = 0.5;

  /**
   * The time constant, in microseconds, with which the mean load of one worker approaches that of
   * all workers.
   */
  private static final double LOAD_DECAY_TIME_CONSTANT_MICROS = 0.8e6;

  /** The time constant, in mean run times, with which the weight of a load report decays. */
  private static final double REPORT_TIME_CONSTANT_RUN_TIMES = 2;

  /**
   * The maximum latency ratio without a load penalty. The penalty is the amount by which the ratio
   * exceeds this limit. {@link LatencyEstimator#latencyRatio} defines the ratio.
   */
  private static final double MAX_UNPENALIZED_LATENCY_RATIO = 1.25;

  /**
   * The maximum fraction of a worker's slots for the jobs of one key. A key that needs more is
   * spread over more workers.
   */
  private static final double MAX_WORKER_FRACTION_PER_KEY = 0.25;

  /**
   * The number of standard deviations that are subtracted from the observed demand for a key.
   * Demand within this range of zero may be due to chance.
   */
  private static final double DEMAND_NOISE_DEVIATIONS = 1.5;

  /** The index of the request class whose mean run time is used for the jobs of every key. */
  private static final int FIRST_CLASS = 0;

  /** The weight of a new sample in the mean load and the mean slots of all workers. */
  private static final double SAMPLE_WEIGHT = 0.02;

  /** The maximum value with which a sample enters the mean load of all workers. */
  private static final double MAX_LOAD_IN_MEAN = 2;

  /** A worker that reports fewer free slots than this is full. */
  private static final double MIN_FREE_SLOTS = 0.5;

  /** The minimum load that is recorded for a worker that reports itself as full. */
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

  /** Returns the mean load of all workers, as a fraction of their slots. */
  double meanLoad() {
    return meanLoad;
  }

  /**
   * Returns the number of slots of a worker. If it is not known, returns the mean of all workers
   * or, before the first report, {@link #DEFAULT_SLOTS}.
   */
  double slots(WorkerState worker) {
    return worker.load.hasSlots() ? worker.load.slots() : typicalSlots();
  }

  private double typicalSlots() {
    return meanSlots > 0 ? meanSlots : DEFAULT_SLOTS;
  }

  /**
   * Returns the fraction of its steady value that a {@link DecayingSum} with the time constant
   * {@link DecayingSum#RATE_TIME_CONSTANT_MICROS} reaches if amounts are added at a constant rate
   * since this dispatcher started. The result is greater than 0 and approaches 1.
   */
  double observedFraction() {
    double age = startedAt - context.now() - 1;
    return 1 - Math.exp(age / DecayingSum.RATE_TIME_CONSTANT_MICROS);
  }

  /**
   * Returns the number of workers that the traffic of a key needs. The estimate multiplies this
   * dispatcher's traffic by the number of dispatchers, because a hot key can fill its hashed
   * workers while the count of each single dispatcher is still low. Traffic that may be due to
   * chance is not counted. The result is 0 if no traffic is counted.
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
   * Returns this dispatcher's traffic relative to the mean of all dispatchers; 1 unless this
   * dispatcher is hot.
   */
  double trafficFactor() {
    return trafficEstimator.factor(context.now());
  }

  /**
   * Records a job that was served.
   *
   * @param serviceTime the time from the start of the job to its end, or from the send if no start
   *     was reported
   */
  void recordServed(AttemptState attempt, double serviceTime) {
    latencyEstimator.recordServed(attempt, serviceTime, context.now());
  }

  /**
   * Records a load report of a worker.
   *
   * @param report the report; it is ignored if it is null or has no number of free slots
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
   * Records an observed load of a worker.
   *
   * @param load the load, as a fraction of the worker's slots
   */
  void recordSample(WorkerState worker, double load) {
    worker.load.addSample(load, context.now());
  }

  /**
   * Returns the estimated load of a worker, as a fraction of its slots; infinite if the start of a
   * job at the worker is overdue.
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
   * Returns a weighted mean of the mean load of a worker and that of all workers. The weight of the
   * latter grows with the age of the worker's last sample.
   */
  private double decayedMeanLoad(WorkerLoadHistory load, double age) {
    double decay = Math.exp(-age / LOAD_DECAY_TIME_CONSTANT_MICROS);
    return meanLoad + (load.meanLoad() - meanLoad) * decay;
  }

  /**
   * Returns the weight of a worker's last report, from 0 to 1, for the time since the report
   * arrived.
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
