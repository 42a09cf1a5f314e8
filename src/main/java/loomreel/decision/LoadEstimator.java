package loomreel.decision;

import loomreel.decision.Settings.LoadReporting;

/**
 * Estimates how loaded workers are, as a share of their slots, from their load reports and from
 * what this dispatcher has sent them since. What is known of one worker decays into what is known
 * of all. Times are microseconds.
 */
final class LoadEstimator {
  /** Slots of a worker while no report has told any. */
  private static final double DEFAULT_SLOTS = 4;

  /** Time constant with which a worker's own load decays into the usual one. */
  private static final double DECAY_TO_USUAL = 0.8e6;

  /** A worker whose jobs take this many times as long as everywhere gets a load penalty. */
  private static final double PENALIZED_LATENCY_RATIO = 1.25;

  /** Mean jobs that a latency ratio starts from, so that a few jobs do not decide it. */
  private static final double LATENCY_PRIOR_JOBS = 3;

  /** A dispatcher counts as hot above this many equal shares of all traffic: zones explain less. */
  private static final double HOT_DISPATCHER = 1.6;

  /** Among this few dispatchers one may be the only one of a zone, so shares say little. */
  private static final int FEW_DISPATCHERS = 10;

  /** Reported jobs that weigh as much as the prior that all dispatchers have an equal share. */
  private static final int EQUAL_SHARE_PRIOR_JOBS = 50;

  /** The share of a worker that one key may fill before it is spread over more workers. */
  private static final double MAX_KEY_SHARE = 0.25;

  private static final double WORKER_SLOTS_WEIGHT = 0.2;
  private static final double MEAN_WEIGHT = 0.02;
  private static final double MIN_SAMPLE_WEIGHT = 0.1;

  /** A worker that reports less than this many free slots is full. */
  private static final double NO_FREE_SLOT = 0.5;

  private final PolicyContext context;
  private final WorkerTable workers;
  private final ServiceTimeEstimator times;
  private final long startedAt;
  private final ServiceRate serviceRate = new ServiceRate(Time.RATE_TIME_CONSTANT);

  /** Jobs that reports said workers held, and how many of them this dispatcher had sent. */
  private final DecayingSum reportedJobs = new DecayingSum(Time.RATE_TIME_CONSTANT);

  private final DecayingSum ownJobs = new DecayingSum(Time.RATE_TIME_CONSTANT);
  private double meanLoad;
  private double meanSlots;

  LoadEstimator(PolicyContext context, WorkerTable workers, ServiceTimeEstimator times) {
    this.context = context;
    this.workers = workers;
    this.times = times;
    startedAt = context.now();
    meanLoad = reportsLoad() ? 0.5 : 0;
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
    return worker.slots > 0 ? worker.slots : typicalSlots();
  }

  private double typicalSlots() {
    return meanSlots > 0 ? meanSlots : DEFAULT_SLOTS;
  }

  /** The part of the time constant of rates that this dispatcher has been up for. */
  double observedFraction() {
    return 1 - Math.exp((startedAt - context.now() - 1) / Time.RATE_TIME_CONSTANT);
  }

  /**
   * How many workers a key needs, from this dispatcher's traffic times the number of dispatchers: a
   * hot key fills both of its candidates while each dispatcher's own count is still low. Traffic
   * that may be due to chance is left out.
   */
  int workersNeeded(KeyAffinity key) {
    double seen = key.demand.valueAt(context.now());
    double chance = Math.sqrt(seen * times.meanRunTime(0) / Time.RATE_TIME_CONSTANT);
    double demand = Math.max(0, seen - 1.5 * chance);
    double keyCapacity = typicalSlots() * MAX_KEY_SHARE;
    int dispatchers = context.settings().dispatchers();
    return (int) Math.ceil(demand / observedFraction() * dispatchers / keyCapacity);
  }

  /** How many equal shares of all traffic this dispatcher gets: one, unless it is a hot one. */
  double equalShares() {
    int dispatchers = context.settings().dispatchers();
    double equalShares = dispatchers > FEW_DISPATCHERS ? trafficShare() * dispatchers : 1;
    return equalShares > HOT_DISPATCHER ? equalShares : 1;
  }

  /**
   * This dispatcher's share of the traffic of all: an equal one while little is known, then that of
   * its own jobs among those that workers say they hold.
   */
  private double trafficShare() {
    long now = context.now();
    double prior = (double) EQUAL_SHARE_PRIOR_JOBS / context.settings().dispatchers();
    return Math.min(
        1, (ownJobs.valueAt(now) + prior) / (reportedJobs.valueAt(now) + EQUAL_SHARE_PRIOR_JOBS));
  }

  /** A job has been served; {@code time} is from its start if that was told, else from its send. */
  void recordServed(AttemptState attempt, double time) {
    double work = attempt.request.arrival.expectedWork();
    if (!Double.isNaN(work)) {
      attempt.worker.serviceRate.add(time, work, context.now());
      serviceRate.add(time, work, context.now());
    }
  }

  /** A worker has reported its load; null or a report without free slots tells nothing. */
  void recordReport(WorkerState worker, WorkerLoad report) {
    if (report == null || Double.isNaN(report.freeSlots())) {
      return;
    }
    long now = context.now();
    double free = Math.max(0, report.freeSlots());
    double waiting = Double.isNaN(report.queuedJobs()) ? 0 : Math.max(0, report.queuedJobs());
    if (!Double.isNaN(report.activeJobs())) {
      reportedJobs.add(report.activeJobs(), now);
      // Of a mean worker, not this one: it is asked when it has been sent nothing for a while.
      ownJobs.add(totalOpenAttempts() / (double) workers.size(), now);
    }
    learnSlots(worker, report, free, waiting);
    double load = Math.max(0, worker.slots - free + waiting) / worker.slots;
    if (worker.reportedAt == Time.NEVER) {
      worker.meanLoad = meanLoad;
      worker.reportedAt = now;
      worker.samples = 1;
    }
    recordSample(worker, free < NO_FREE_SLOT ? Math.max(1, load) : load);
    meanLoad += MEAN_WEIGHT * (Math.min(2, worker.load) - meanLoad);
  }

  private int totalOpenAttempts() {
    return workers.all().stream().mapToInt(worker -> worker.openAttempts.size()).sum();
  }

  private void learnSlots(WorkerState worker, WorkerLoad report, double free, double waiting) {
    if (Double.isNaN(report.activeJobs())) {
      worker.slots = Math.max(Math.max(1, free), worker.slots);
    } else {
      double slots = Math.max(1, report.activeJobs() - waiting + free);
      boolean isFirst = worker.slots == 0;
      worker.slots = isFirst ? slots : worker.slots + WORKER_SLOTS_WEIGHT * (slots - worker.slots);
    }
    meanSlots =
        meanSlots == 0 ? worker.slots : meanSlots + MEAN_WEIGHT * (worker.slots - meanSlots);
  }

  /** A worker's load has been seen. */
  void recordSample(WorkerState worker, double load) {
    long now = context.now();
    worker.samples++;
    // The first samples count equally: a peak in one of them must not pass for the usual load.
    double byAge = 1 - Math.exp((worker.reportedAt - now) / Time.RATE_TIME_CONSTANT * 2);
    double weight = Math.max(1.0 / worker.samples, Math.max(MIN_SAMPLE_WEIGHT, byAge));
    worker.load = load;
    worker.meanLoad += weight * (load - worker.meanLoad);
    worker.reportedAt = now;
  }

  /**
   * A worker's load as a share of its slots; infinite while a job there has not been started in
   * time.
   */
  double estimate(WorkerState worker) {
    long now = context.now();
    double ownSlots = 0;
    for (AttemptState attempt : worker.openAttempts) {
      if (isStartOverdue(attempt)) {
        return Double.POSITIVE_INFINITY;
      }
      ownSlots += attempt.request.arrival.slots();
    }
    double penalty = Math.max(0, latencyRatio(worker) - PENALIZED_LATENCY_RATIO);
    double age = now - worker.reportedAt;
    double usual = meanLoad + (worker.meanLoad - meanLoad) * Math.exp(-age / DECAY_TO_USUAL);
    if (!reportsLoad()) {
      return usual + ownSlots / slots(worker) + penalty;
    }
    double trust = Math.exp(-(age + WorkerTable.REPORT_DELAY) / (2 * times.meanRunTime()));
    double unreported = worker.unreportedSlots.valueAt(now) / slots(worker);
    return trust * worker.load + (1 - trust) * usual + unreported + penalty;
  }

  private boolean isStartOverdue(AttemptState attempt) {
    return context.settings().reportsJobStart()
        && !attempt.hasStarted()
        && context.now() - attempt.sentAt > times.startTimeout();
  }

  /**
   * How many times as long jobs take at this worker as at all of them, for the work that they
   * announce; about 1 while little is known. An open job counts once it has taken longer than
   * usual, but no more than a mean job: its answer may be lost, and one job says little.
   */
  private double latencyRatio(WorkerState worker) {
    long now = context.now();
    if (serviceRate.workDone(now) <= 0) {
      return 1;
    }
    double usual = serviceRate.timeSpent(now) / serviceRate.workDone(now);
    double prior = LATENCY_PRIOR_JOBS * times.meanRunTime();
    double work = prior + worker.serviceRate.workDone(now);
    double time = prior * usual + worker.serviceRate.timeSpent(now);
    for (AttemptState attempt : worker.openAttempts) {
      double announced = attempt.request.arrival.expectedWork();
      long elapsed = now - attempt.startedOrSentAt();
      if (elapsed > usual * announced) {
        work += announced;
        time += Math.min((double) elapsed, usual * (announced + times.meanRunTime()));
      }
    }
    return time / work / usual;
  }
}
