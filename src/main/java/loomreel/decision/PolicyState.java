package loomreel.decision;

/**
 * The state of a started policy: its workers, requests, job keys and estimates. This class makes no
 * decisions.
 */
final class PolicyState {
  /** The token of the timer that polls the endpoint list. */
  static final long POLL_TIMER = 0;

  /**
   * The token of the timer for the next retry of the queue. When the timer fires, the policy tries
   * to place queued requests again. Greater tokens belong to the timers of requests.
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
   * @param processShare the fraction, from 0 to 1, of the dispatcher's rate limit for a warming
   *     worker that this process may use; the fraction is 1 unless a second process serves as the
   *     same dispatcher, as in a hot restart
   */
  PolicyState(PolicyContext context, double processShare) {
    this.context = context;
    Settings settings = context.settings();
    keyAffinities = new KeyAffinityTable(workers, new RendezvousRanking(settings.stableWeights()));
    serviceTimes = new ServiceTimeEstimator(settings);
    workerLoads = new LoadEstimator(context, workers, serviceTimes);
    slowStart = new SlowStartController(context, workers, serviceTimes, workerLoads, processShare);
  }

  /**
   * Records a new attempt of a request at a worker. Must be called each time an attempt is started.
   */
  void recordAttempt(PendingRequest request, WorkerState worker) {
    AttemptState attempt = new AttemptState(request, worker, context.now());
    request.addAttempt(attempt);
    worker.addAttempt(attempt, context.now());
    slowStart.recordSent(request, worker);
  }
}
