package loomreel.decision;

/** What the policy knows of workers, requests and keys, and its estimates. It decides nothing. */
final class PolicyState {
  /** Token of the timer that polls the endpoint list. */
  static final long POLL_TIMER = 0;

  /** Token of the timer that retries queued requests; those above it are requests' timers. */
  static final long QUEUE_TIMER = 1;

  final PolicyContext context;
  final WorkerTable workers = new WorkerTable();
  final RequestTable requests = new RequestTable(QUEUE_TIMER);
  final KeyAffinityTable keys;
  final ServiceTimeEstimator times;
  final LoadEstimator loads;
  final SlowStartController slowStart;

  /**
   * @param capacityFraction the fraction of the dispatcher's slow-start allowance that this process
   *     may use
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
    request.addAttempt(attempt);
    worker.addAttempt(attempt, context.now());
    slowStart.recordSent(request, worker);
  }
}
