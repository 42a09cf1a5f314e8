package loomreel.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the worker of an attempt, based on Algorithm 1 of "Package-Aware Scheduling of FaaS
 * Functions". The key of a job hashes to two workers. The first of them whose load is below a
 * threshold is selected. If there is none, a fallback samples the next workers in the ranking of
 * the key. For a job without a key, the least loaded worker of a random sample is selected if its
 * load is below the threshold.
 */
final class WorkerSelector {
  /** The load threshold below which a job can start at once, as a fraction of a worker's slots. */
  static final double FULL_THRESHOLD = 1;

  /**
   * The sample size of the fallback if health checks are allowed. Each sampled worker of unknown
   * load then costs a health check.
   */
  static final int SAMPLE_WITH_HEALTH_CHECKS = 3;

  /**
   * The sample size of the fallback if health checks are not allowed. It is larger, because
   * sampling a worker then costs nothing.
   */
  private static final int SAMPLE_WITHOUT_HEALTH_CHECKS = 8;

  /** The score of every worker below the threshold, for a request with a key. */
  private static final double BELOW_THRESHOLD_SCORE = -1;

  /**
   * The ratio of the load threshold to the mean load if all workers are loaded. The threshold is
   * limited by {@link #MAX_LOAD_THRESHOLD}.
   */
  private static final double MEAN_LOAD_THRESHOLD_FACTOR = 1.1;

  /**
   * The maximum load threshold, as a fraction of a worker's slots, for a request within its quota.
   */
  private static final double MAX_LOAD_THRESHOLD = 1.5;

  /**
   * The mean load of all workers at and above which the fallback does not advance in the ranking
   * for a queued request.
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

  /** Draws new candidates for a request. */
  void drawCandidates(PendingRequest request) {
    boolean isRanked = request.hasKey() && workers.pool(request).length > 0;
    int workersNeeded =
        isRanked
            ? workerLoads.workersNeeded(keyAffinities.get(request))
            : CandidateDraw.UNBOUNDED;
    long seed = context.random().nextLong();
    request.setCandidates(new CandidateDraw(workersNeeded, seed));
  }

  /** Returns the worker for a request, or null if no candidate is below the load threshold. */
  WorkerState select(PendingRequest request) {
    return selectBeforeRound(null, request);
  }

  /**
   * Returns the worker for a request, or null if no candidate in the considered rounds is below the
   * load threshold.
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
      // The score is negative only for a worker below the threshold. If the request has a key, all
      // such workers have the same score, so the first one is selected. Otherwise the least loaded
      // one is selected.
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

  /** Returns the load threshold for a request, which is raised if all workers are loaded. */
  private double loadThreshold(PendingRequest request) {
    double thresholdByMeanLoad =
        Math.min(MAX_LOAD_THRESHOLD, MEAN_LOAD_THRESHOLD_FACTOR * workerLoads.meanLoad());
    return request.loadThreshold() * Math.max(FULL_THRESHOLD, thresholdByMeanLoad);
  }

  /**
   * Returns the slots that a request needs beyond the first one, as a fraction of a worker's slots.
   */
  private double extraSlotsFraction(PendingRequest request, WorkerState worker) {
    double slots = workerLoads.slots(worker);
    return (Math.min(request.arrival.slots(), slots) - 1) / slots;
  }

  /**
   * Returns the load of a worker as a fraction of its slots; infinite if the request may not or
   * should not be sent to the worker.
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

  /** Returns the candidates of a round, in the order in which they are considered. */
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
   * Returns a random sample of the workers of a pool, in which a worker may occur more than once.
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
   * Returns a sample of the workers that follow the first one in the ranking of a key. If the key
   * is hot, the sample starts at a random position among the workers that the key needs.
   */
  private List<WorkerState> rankedCandidates(
      PendingRequest request, KeyAffinity key, int sampleSize) {
    WorkerState[] ranking = key.ranking();
    CandidateDraw draw = request.candidates();
    boolean isHot = draw.exceedsHashedWorkers();
    int startIndex = isHot ? (int) Long.remainderUnsigned(draw.seed(), draw.workersNeeded()) : 1;
    int rankedWorkers = Math.min(ranking.length, Math.max(draw.workersNeeded(), sampleSize + 1));
    if (request.rankingOffsetSamples() > 0
        && workerLoads.meanLoad() < MAX_MEAN_LOAD_FOR_RANKING_OFFSET) {
      startIndex += request.rankingOffsetSamples() * sampleSize;
      rankedWorkers = Math.min(ranking.length, KeyAffinityTable.MAX_RANKED_WORKERS);
    }
    List<WorkerState> candidates = new ArrayList<>(sampleSize);
    for (int i = 0; i < sampleSize; i++) {
      candidates.add(ranking[(startIndex + i) % rankedWorkers]);
    }
    return candidates;
  }
}
