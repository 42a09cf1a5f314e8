package loomreel.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the worker of an attempt. The selection is based on Algorithm 1 of "Package-Aware
 * Scheduling of FaaS Functions".
 *
 * <p>If the job has a key, the key hashes to two workers, and the first of them whose load is below
 * the load threshold is selected. If neither has a load below the threshold, a fallback considers a
 * sample of the next workers in the ranking of the key, and the first worker of the sample whose
 * load is below the threshold is selected. If the job has no key, a random sample of workers is
 * considered, and the least loaded of them is selected if its load is below the threshold.
 */
final class WorkerSelector {
  /**
   * The load of a worker, as a fraction of its slots, below which a job can start at once. It is
   * the load threshold of a request within its quota, unless the mean load of all workers is high.
   */
  static final double FULL_THRESHOLD = 1;

  /**
   * The sample size of the fallback if health checks are allowed. Each worker in the sample whose
   * load is unknown then costs a health check.
   */
  static final int SAMPLE_WITH_HEALTH_CHECKS = 3;

  /**
   * The sample size of the fallback if health checks are not allowed. This sample is larger than
   * with health checks, because each worker in the sample costs nothing.
   */
  private static final int SAMPLE_WITHOUT_HEALTH_CHECKS = 8;

  /** The score of every worker whose load is below the threshold, for a request with a key. */
  private static final double BELOW_THRESHOLD_SCORE = -1;

  /**
   * The load threshold as a multiple of the mean load of all workers, if the mean load is high. The
   * multiple replaces {@link #FULL_THRESHOLD} if it is larger. It is limited by {@link
   * #MAX_LOAD_THRESHOLD}.
   */
  private static final double MEAN_LOAD_THRESHOLD_FACTOR = 1.1;

  /**
   * The maximum load threshold of a request within its quota, as a fraction of a worker's slots.
   */
  private static final double MAX_LOAD_THRESHOLD = 1.5;

  /**
   * The limit of the mean load of all workers for the use of ranking offsets. {@link
   * PendingRequest#rankingOffsetInSampleSizes} describes the offset. If the mean load is below this
   * limit, the fallback sample of a request is moved by the offset of the request. If the mean load
   * is at or above this limit, the offset is ignored.
   */
  private static final double MAX_MEAN_LOAD_FOR_RANKING_OFFSET = 0.9;

  private final PolicyContext context;
  private final WorkerTable workers;
  private final KeyAffinityTable keyAffinities;
  private final RetryPolicy retryPolicy;
  private final SlowStartController slowStart;
  private final ServiceTimeEstimator serviceTimes;
  private final LoadEstimator workerLoads;

  WorkerSelector(PolicyState state, RetryPolicy retryPolicy) {
    this.retryPolicy = retryPolicy;
    context = state.context;
    workers = state.workers;
    keyAffinities = state.keyAffinities;
    slowStart = state.slowStart;
    serviceTimes = state.serviceTimes;
    workerLoads = state.workerLoads;
  }

  /**
   * Draws new parameters from which the candidates of a request are derived: the number of workers
   * that the request's key needs, and a random seed.
   */
  void drawCandidateParameters(PendingRequest request) {
    boolean isRanked = request.hasKey() && workers.pool(request).length > 0;
    int workersNeeded =
        isRanked ? workerLoads.workersNeeded(keyAffinities.get(request)) : CandidateDraw.UNBOUNDED;
    long seed = context.random().nextLong();
    request.setCandidates(new CandidateDraw(workersNeeded, seed));
  }

  /**
   * Returns the worker for a request; null if no candidate with a load below the threshold is
   * available.
   */
  WorkerState select(PendingRequest request) {
    return selectBeforeRound(null, request);
  }

  /**
   * Returns the worker for a request; null if the considered rounds contain no available candidate
   * with a load below the threshold.
   *
   * @param endRound the first round that is not considered; null to consider all rounds
   */
  WorkerState selectBeforeRound(CandidateRound endRound, PendingRequest request) {
    CandidateRound first = request.candidates().firstRound();
    for (CandidateRound round = first; round != endRound; round = round.next()) {
      WorkerState selected = selectInRound(request, round);
      if (selected != null) {
        return selected;
      }
    }
    return null;
  }

  private WorkerState selectInRound(PendingRequest request, CandidateRound round) {
    double loadThreshold = loadThreshold(request);
    WorkerState best = null;
    double leastScore = Double.POSITIVE_INFINITY;
    for (WorkerState worker : candidates(request, round)) {
      // A score can be negative only for a worker whose load is below the threshold. If the request
      // has a key, all these workers have the same score, so the first of them is selected. If the
      // request has no key, the least loaded of them is selected.
      double score = loadIfEligible(request, worker);
      if (score + extraSlotsFraction(request, worker) < loadThreshold) {
        if (round == CandidateRound.FALLBACK && request.hasKey()) {
          return worker;
        }
        score = request.hasKey() ? BELOW_THRESHOLD_SCORE : score - loadThreshold;
      }
      if (score < leastScore) {
        leastScore = score;
        best = worker;
      }
    }
    return leastScore < 0 ? best : null;
  }

  /**
   * Returns the load threshold for a request, as a fraction of a worker's slots. The threshold is
   * raised while the mean load of all workers is high.
   */
  private double loadThreshold(PendingRequest request) {
    double thresholdByMeanLoad =
        Math.min(MAX_LOAD_THRESHOLD, MEAN_LOAD_THRESHOLD_FACTOR * workerLoads.meanLoad());
    return request.loadThreshold() * Math.max(FULL_THRESHOLD, thresholdByMeanLoad);
  }

  /**
   * Returns the number of slots that a request needs in addition to one slot, as a fraction of the
   * slots of a worker. The request is assumed to need no more slots than the worker has. The result
   * is negative if the request needs less than one slot.
   */
  private double extraSlotsFraction(PendingRequest request, WorkerState worker) {
    double slots = workerLoads.slots(worker);
    return (Math.min(request.arrival.slots(), slots) - 1) / slots;
  }

  /**
   * Returns the estimated load of a worker, as a fraction of its slots. The result is infinite if
   * the rules forbid the request at the worker, the worker is ejected, its slow-start limit does
   * not allow the request, or a health check of the worker is overdue.
   */
  private double loadIfEligible(PendingRequest request, WorkerState worker) {
    long healthCheckTimeout = serviceTimes.healthCheckTimeout(request);
    boolean isEligible =
        retryPolicy.allowsWorker(request, worker)
            && !worker.isEjected(context.now())
            && slowStart.allows(request, worker)
            && !worker.isHealthCheckOverdue(healthCheckTimeout, context.now());
    return isEligible ? workerLoads.estimate(worker) : Double.POSITIVE_INFINITY;
  }

  /** Returns the candidates of a round for a request, in the order in which they are considered. */
  List<WorkerState> candidates(PendingRequest request, CandidateRound round) {
    WorkerState[] pool = workers.pool(request);
    KeyAffinity key = request.hasKey() && pool.length > 0 ? keyAffinities.get(request) : null;
    if (key != null && round == CandidateRound.HASHED) {
      return hashedCandidates(key);
    }
    boolean checksHealth = context.settings().limits().healthChecks();
    int sampleSize =
        Math.min(
            pool.length, checksHealth ? SAMPLE_WITH_HEALTH_CHECKS : SAMPLE_WITHOUT_HEALTH_CHECKS);
    if (key == null || request.candidates().workersNeeded() > key.ranking().length) {
      return randomCandidates(request, pool, sampleSize);
    }
    return rankedCandidates(request, key, sampleSize);
  }

  private static List<WorkerState> hashedCandidates(KeyAffinity key) {
    WorkerState first = key.ranking()[0];
    WorkerState second = key.secondChoice();
    return first == second ? List.of(first) : List.of(first, second);
  }

  /**
   * Returns a random sample of the workers of a pool. A worker may occur more than once in the
   * sample.
   */
  private static List<WorkerState> randomCandidates(
      PendingRequest request, WorkerState[] pool, int sampleSize) {
    List<WorkerState> candidates = new ArrayList<>(sampleSize);
    for (int i = 0; i < sampleSize; i++) {
      long hash = Hashing.mix(request.candidates().seed() + i);
      candidates.add(pool[(int) Long.remainderUnsigned(hash, pool.length)]);
    }
    return candidates;
  }

  /**
   * Returns a sample of consecutive workers in the ranking of a key. If the key is hot, that is,
   * needs more workers than it hashes to, the sample starts at a random position among the workers
   * that the key needs. Otherwise, the sample starts with the second worker of the ranking. If the
   * request was queued and the mean load is not high, the start of the sample is moved on in the
   * ranking by the offset of the request, and all ranked workers are considered. Otherwise, only
   * the first workers of the ranking are considered: as many as the key needs, but at least one
   * more than the sample contains. After the last considered worker, the sample continues with the
   * first worker of the ranking.
   */
  private List<WorkerState> rankedCandidates(
      PendingRequest request, KeyAffinity key, int sampleSize) {
    WorkerState[] ranking = key.ranking();
    CandidateDraw draw = request.candidates();
    boolean isHot = draw.exceedsHashedWorkers();
    int startIndex = isHot ? (int) Long.remainderUnsigned(draw.seed(), draw.workersNeeded()) : 1;
    int rankedWorkers = Math.min(ranking.length, Math.max(draw.workersNeeded(), sampleSize + 1));
    if (request.rankingOffsetInSampleSizes() > 0
        && workerLoads.meanLoad() < MAX_MEAN_LOAD_FOR_RANKING_OFFSET) {
      startIndex += request.rankingOffsetInSampleSizes() * sampleSize;
      rankedWorkers = Math.min(ranking.length, KeyAffinityTable.MAX_RANKED_WORKERS);
    }
    List<WorkerState> candidates = new ArrayList<>(sampleSize);
    for (int i = 0; i < sampleSize; i++) {
      candidates.add(ranking[(startIndex + i) % rankedWorkers]);
    }
    return candidates;
  }
}
