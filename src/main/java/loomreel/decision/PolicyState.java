package loomreel.decision;

/**
 * The state of a started policy: its workers, requests, job keys and estimates. This class makes no
 * decisions.
 */
final class PolicyState {
  /** The token of the timer that polls the endpoint list. */
  static final long POLL_TIMER = 0;

  /**
   * The token of the timer that retries the queued requests. Tokens greater than this belong to the
   * timers of requests.
   */
  static final long QUEUE_TIMER = 1;

  final PolicyContext context;
  final WorkerTable workers = new WorkerTable();
  final RequestTable requests = new RequestTable(QUEUE_TIMER);
  final KeyAffinityTable keyAffinities;
  final ServiceTimeEstimator serviceTimes;
  final LoadEstimator workerLoads;
  final SlowStartController slowStart;

  /**
   * Creates the state of a policy that has just started.
   *
   * @param capacityFraction the fraction of the dispatcher's slow-start allowance that this process
   *     may use, from 0 to 1
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

  /**
   * Records a new attempt of a request at a worker. It must be called for each attempt when it is
   * started.
   */
  void recordAttempt(PendingRequest request, WorkerState worker) {
    AttemptState attempt = new AttemptState(request, worker, context.now());
    request.addAttempt(attempt);
    worker.addAttempt(attempt, context.now());
    slowStart.recordSent(request, worker);
  }
}
