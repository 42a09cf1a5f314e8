package loomreel.decision;

/** What the policy knows of workers, requests and keys, and its estimates. It decides nothing. */
final class PolicyState {
  /** Tokens of the timers that are not a request's. */
  static final long POLL_TIMER = 0;

  static final long QUEUE_TIMER = 1;

  final PolicyContext context;
  final WorkerTable workers = new WorkerTable();
  final RequestTable requests = new RequestTable(QUEUE_TIMER);
  final KeyAffinityTable keys;
  final ServiceTimeEstimator times;
  final LoadEstimator loads;
  final SlowStartController slowStart;

  /**
   * @param capacityFraction this process's share of what the dispatcher may send to warming workers
   */
  PolicyState(PolicyContext context, double capacityFraction) {
    this.context = context;
    Settings settings = context.settings();
    keys = new KeyAffinityTable(workers, new RendezvousRanking(settings.stableWeights()));
    times = new ServiceTimeEstimator(settings);
    loads = new LoadEstimator(context, workers, times);
    slowStart = new SlowStartController(context, workers, times, loads, capacityFraction);
  }

  /** An attempt of a request is being started. */
  void recordAttempt(PendingRequest request, WorkerState worker) {
    AttemptState attempt = new AttemptState(request, worker, context.now());
    request.attempts.add(attempt);
    worker.openAttempts.add(attempt);
    worker.unreportedSlots.add(request.arrival.slots(), context.now());
    slowStart.recordSent(request, worker);
  }
}
