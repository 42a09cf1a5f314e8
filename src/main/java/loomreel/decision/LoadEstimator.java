package loomreel.decision;

import loomreel.decision.Settings.LoadReporting;

/**
 * Estimates how loaded workers are, as a fraction of their slots, from their load reports and from
 * what this dispatcher has sent them since. What is known of one worker decays into what is known
 * of all. Times are microseconds.
 */
final class LoadEstimator {
  /** Slots of a worker before the first report. */
  private static final double DEFAULT_SLOTS = 4;

  /** The mean load before the first report, where workers report any. */
  private static final double INITIAL_MEAN_LOAD = 0.5;

  /** Time constant with which a worker's own load decays into the usual one. */
  private static final double LOAD_DECAY_TIME_CONSTANT_MICROS = 0.8e6;

  /** After this many mean run times, 1/e of a report still holds. */
  private static final double REPORT_TIME_CONSTANT_RUN_TIMES = 2;

  /** A worker whose jobs take this many times as long as everywhere gets a load penalty. */
  private static final double MAX_UNPENALIZED_LATENCY_RATIO = 1.25;

  /** The fraction of a worker that one key may fill before it is spread over more workers. */
  private static final double MAX_WORKER_FRACTION_PER_KEY = 0.25;

  /** Demand within this many standard deviations of zero may be due to chance. */
  private static final double DEMAND_NOISE_DEVIATIONS = 1.5;

  /** The class whose mean run time stands for that of a key's jobs. */
  private static final int FIRST_CLASS = 0;

  private static final double SAMPLE_WEIGHT = 0.02;

  /** The most that one sample counts for in the mean load. */
  private static final double MAX_LOAD_IN_MEAN = 2;

  /** A worker that reports less than this many free slots is full. */
  private static final double MIN_FREE_SLOTS = 0.5;

  private static final double FULL_LOAD = 1;

  private final PolicyContext context;
  private final ServiceTimeEstimator serviceTimes;
  private final LatencyEstimator latencyEstimator;
  private final TrafficEstimator trafficEstimator;
  private final long startedAt;
  private double meanLoad;

  /** Mean slots of all workers; 0 before the first report. */
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

  /** The mean load of all workers. */
  double meanLoad() {
    return meanLoad;
  }

  /** A worker's slots, or those of a typical one while they are not known. */
  double slots(WorkerState worker) {
    return worker.load.hasSlots() ? worker.load.slots() : typicalSlots();
  }

  private double typicalSlots() {
    return meanSlots > 0 ? meanSlots : DEFAULT_SLOTS;
  }

  /** The fraction of the time constant of rates that this dispatcher has been up for. */
  double observedFraction() {
    double age = startedAt - context.now() - 1;
    return 1 - Math.exp(age / DecayingSum.RATE_TIME_CONSTANT_MICROS);
  }

  /**
   * How many workers a key needs, from this dispatcher's traffic times the number of dispatchers: a
   * hot key fills both of its candidates while each dispatcher's own count is still low. Traffic
   * that may be due to chance does not count.
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

  /** This dispatcher's traffic relative to the mean of all: 1, unless it is a hot one. */
  double trafficFactor() {
    return trafficEstimator.factor(context.now());
  }

  /** A job has been served; the time counts from its start, or its send if none was reported. */
  void recordServed(AttemptState attempt, double serviceTime) {
    latencyEstimator.recordServed(attempt, serviceTime, context.now());
  }

  /** A worker has reported its load; null and a report without free slots are ignored. */
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

  /** A worker's load has been observed. */
  void recordSample(WorkerState worker, double load) {
    worker.load.addSample(load, context.now());
  }

  /**
   * A worker's load as a fraction of its slots; infinite while the start of a job there is overdue.
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

  /** The mean load of a worker, which decays into that of all with the age of the last sample. */
  private double decayedMeanLoad(WorkerLoadHistory load, double age) {
    double decay = Math.exp(-age / LOAD_DECAY_TIME_CONSTANT_MICROS);
    return meanLoad + (load.meanLoad() - meanLoad) * decay;
  }

  /** How far the last report still holds, from 0 to 1. */
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
