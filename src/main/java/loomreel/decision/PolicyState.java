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
  final KeyAffinityTable keyAffinities;
  final ServiceTimeEstimator serviceTimes;
  final LoadEstimator workerLoads;
  final SlowStartController slowStart;

  /**
   * @param capacityFraction the fraction of the dispatcher's slow-start allowance that this process
   *     may use
   */
  PolicyState(PolicyContext context, double capacityFraction) {
    this.context = context;
    Settings settings = context.settings();
    keyAffinities = new KeyAffinityTable(workers, new RendezvousRanking(settings.stableWeights()));
    serviceTimes = new ServiceTimeEstimator(settings);
    workerLoads = new LoadEstimator(context, workers, serviceTimes);
    slowStart =
        new SlowStartController(context, workers, serviceTimes, workerLoads, capacityFraction);
  }

  /** An attempt of a request is being started. */
  void recordAttempt(PendingRequest request, WorkerState worker) {
    AttemptState attempt = new AttemptState(request, worker, context.now());
    request.addAttempt(attempt);
    worker.addAttempt(attempt, context.now());
    slowStart.recordSent(request, worker);
  }
}
