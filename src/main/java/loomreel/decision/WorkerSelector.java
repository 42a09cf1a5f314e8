package loomreel.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * Chooses the worker of an attempt, by Algorithm 1 of "Package-Aware Scheduling of FaaS Functions":
 * two workers hashed from the job's key, the less loaded of them if its load is under a threshold,
 * else a fallback that samples the next workers of the key's ranking.
 */
final class WorkerSelector {
  /** The threshold as a fraction of a worker's slots: a job can start at once. */
  static final double FULL_THRESHOLD = 1;

  /** How many workers the fallback samples where each unknown one costs a health check. */
  static final int SAMPLE_WITH_HEALTH_CHECKS = 3;

  /** Without health checks the sample is larger, since it costs nothing. */
  private static final int SAMPLE_WITHOUT_HEALTH_CHECKS = 8;

  /** The score of a worker under the threshold, for a request with a key. */
  private static final double BELOW_THRESHOLD_SCORE = -1;

  /** The threshold is the mean load times this, up to a maximum, where all workers are loaded. */
  private static final double MEAN_LOAD_THRESHOLD_FACTOR = 1.1;

  private static final double MAX_LOAD_THRESHOLD = 1.5;

  /** A queued request looks further down the ranking only under this mean load. */
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

  /** The worker for a request, or null if none of the candidates is under the threshold. */
  WorkerState select(PendingRequest request) {
    return selectBeforeRound(null, request);
  }

  /**
   * The worker for a request, or null if no candidate of the rounds so far is under the threshold.
   *
   * @param endRound the first round that is not considered; null to consider all
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
      // A worker under the threshold has a negative score; without a key the least loaded wins.
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

  private double loadThreshold(PendingRequest request) {
    double thresholdByMeanLoad =
        Math.min(MAX_LOAD_THRESHOLD, MEAN_LOAD_THRESHOLD_FACTOR * workerLoads.meanLoad());
    return request.loadThreshold() * Math.max(FULL_THRESHOLD, thresholdByMeanLoad);
  }

  /** What a request takes beyond one slot, as a fraction of a worker's slots. */
  private double extraSlotsFraction(PendingRequest request, WorkerState worker) {
    double slots = workerLoads.slots(worker);
    return (Math.min(request.arrival.slots(), slots) - 1) / slots;
  }

  /**
   * A worker's load as a fraction of its slots; infinite where the request may not or should not be
   * sent.
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

  /** The candidates of a round, in the order in which they are considered. */
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

  private static List<WorkerState> randomCandidates(
      PendingRequest request, WorkerState[] pool, int sampleSize) {
    List<WorkerState> candidates = new ArrayList<>(sampleSize);
    for (int i = 0; i < sampleSize; i++) {
      long hash = Hashing.mix(request.candidates().seed() + i);
      candidates.add(pool[(int) Long.remainderUnsigned(hash, pool.length)]);
    }
    return candidates;
  }

  /** The next places of the key's ranking; for a hot key, a random part of those it needs. */
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
