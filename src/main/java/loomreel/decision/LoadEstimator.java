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
  private static final double DECAY_TO_USUAL_MICROS = 0.8e6;

  /** After this many mean run times, 1/e of a report still holds. */
  private static final double REPORT_DECAY_JOBS = 2;

  /** A worker whose jobs take this many times as long as everywhere gets a load penalty. */
  private static final double PENALIZED_LATENCY_RATIO = 1.25;

  /** The fraction of a worker that one key may fill before it is spread over more workers. */
  private static final double MAX_KEY_FRACTION = 0.25;

  /** Demand within this many standard deviations of zero may be due to chance. */
  private static final double CHANCE_DEVIATIONS = 1.5;

  /** The class whose mean run time stands for that of a key's jobs. */
  private static final int FIRST_CLASS = 0;

  private static final double MEAN_WEIGHT = 0.02;

  /** The most that one sample counts for in the mean load. */
  private static final double MAX_LOAD_IN_MEAN = 2;

  /** A worker that reports less than this many free slots is full. */
  private static final double NO_FREE_SLOT = 0.5;

  private static final double FULL_LOAD = 1;

  private final PolicyContext context;
  private final ServiceTimeEstimator times;
  private final LatencyEstimator latencies;
  private final TrafficEstimator traffic;
  private final long startedAt;
  private double meanLoad;

  /** Mean slots of all workers; 0 before the first report. */
  private double meanSlots;

  LoadEstimator(PolicyContext context, WorkerTable workers, ServiceTimeEstimator times) {
    this.context = context;
    this.times = times;
    latencies = new LatencyEstimator(times);
    traffic = new TrafficEstimator(context.settings().dispatchers(), workers);
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
    double observed = key.demandAt(context.now());
    double deviation =
        Math.sqrt(
            observed * times.meanRunTime(FIRST_CLASS) / DecayingSum.RATE_TIME_CONSTANT_MICROS);
    double demand = Math.max(0, observed - CHANCE_DEVIATIONS * deviation);
    double keyCapacity = typicalSlots() * MAX_KEY_FRACTION;
    int dispatchers = context.settings().dispatchers();
    return (int) Math.ceil(demand / observedFraction() * dispatchers / keyCapacity);
  }

  /** This dispatcher's traffic relative to the mean of all: 1, unless it is a hot one. */
  double trafficFactor() {
    return traffic.factor(context.now());
  }

  /** A job has been served; the time counts from its start, or its send if none was reported. */
  void recordServed(AttemptState attempt, double time) {
    latencies.recordServed(attempt, time, context.now());
  }

  /** A worker has reported its load; null and a report without free slots are ignored. */
  void recordReport(WorkerState worker, WorkerLoad report) {
    if (report == null || Double.isNaN(report.freeSlots())) {
      return;
    }
    if (!Double.isNaN(report.activeJobs())) {
      traffic.recordReportedJobs(report.activeJobs(), context.now());
    }
    double free = Math.max(0, report.freeSlots());
    double queued = Double.isNaN(report.queuedJobs()) ? 0 : Math.max(0, report.queuedJobs());
    learnSlots(worker.load, report, free, queued);
    double slots = worker.load.slots();
    double load = Math.max(0, slots - free + queued) / slots;
    worker.load.startFrom(meanLoad, context.now());
    recordSample(worker, free < NO_FREE_SLOT ? Math.max(FULL_LOAD, load) : load);
    meanLoad += MEAN_WEIGHT * (Math.min(MAX_LOAD_IN_MEAN, worker.load.lastLoad()) - meanLoad);
  }

  private void learnSlots(WorkerLoadHistory load, WorkerLoad report, double free, double queued) {
    if (Double.isNaN(report.activeJobs())) {
      load.learnMinimumSlots(free);
    } else {
      load.learnSlots(Math.max(1, report.activeJobs() - queued + free));
    }
    boolean isFirst = meanSlots == 0;
    meanSlots = isFirst ? load.slots() : meanSlots + MEAN_WEIGHT * (load.slots() - meanSlots);
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
    double penalty = Math.max(0, latencies.latencyRatio(worker, now) - PENALIZED_LATENCY_RATIO);
    double age = now - worker.load.sampledAt();
    double usual = usualLoad(worker.load, age);
    if (!reportsLoad()) {
      return usual + ownSlots / slots(worker) + penalty;
    }
    double trust = trustInReport(age);
    double unreported = worker.unreportedSlots.valueAt(now) / slots(worker);
    return trust * worker.load.lastLoad() + (1 - trust) * usual + unreported + penalty;
  }

  /** The mean load of a worker, which decays into that of all with the age of the last sample. */
  private double usualLoad(WorkerLoadHistory load, double age) {
    double decay = Math.exp(-age / DECAY_TO_USUAL_MICROS);
    return meanLoad + (load.meanLoad() - meanLoad) * decay;
  }

  /** How far the last report still holds, from 0 to 1. */
  private double trustInReport(double age) {
    double timeConstant = REPORT_DECAY_JOBS * times.meanRunTime();
    return Math.exp(-(age + WorkerTable.REPORT_DELAY_MICROS) / timeConstant);
  }

  private boolean isStartOverdue(AttemptState attempt) {
    return context.settings().reportsJobStart()
        && !attempt.hasStarted()
        && context.now() - attempt.sentAt > times.startTimeout();
  }
}
