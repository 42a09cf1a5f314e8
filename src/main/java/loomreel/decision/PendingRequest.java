package loomreel.decision;

import java.util.ArrayList;
import java.util.List;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;

/**
 * A request that the policy still has to handle, because the request has not ended or has open
 * attempts. Times are in microseconds.
 */
final class PendingRequest {
  /** The maximum number of health checks that the policy sends because of one request. */
  private static final int MAX_HEALTH_CHECKS = 4 * WorkerSelector.SAMPLE_WITH_HEALTH_CHECKS;

  final RequestArrived arrival;
  final RequestClass requestClass;

  /**
   * The idempotency of the request. It is that of the request's class, with one exception. If the
   * class is keyed and the request has no idempotency key, it is {@link
   * Idempotency#NON_IDEMPOTENT}.
   */
  final Idempotency idempotency;

  /** The token of the request's timers. Tokens increase in the order of arrival. */
  final long token;

  private final List<AttemptState> attempts = new ArrayList<>(2);

  /** The deadlines of the request; null until {@link #setDeadlines} is called. */
  private RequestDeadlines deadlines;

  /**
   * The parameters from which the candidate workers of the request are derived; null until {@link
   * #setCandidates} is called.
   */
  private CandidateDraw candidates;

  /**
   * The first round of candidates that has not been considered for health checks, or that is being
   * considered now; null before the first call of {@link #setCandidates} and after the last round.
   */
  private CandidateRound healthCheckRound;

  private double loadThreshold = WorkerSelector.FULL_THRESHOLD;
  private int rankingOffsetInSampleSizes;

  /** The number of workers whose pending health check the request waits for. */
  private int pendingHealthChecks;

  private int healthChecksRequested;
  private boolean ended;

  PendingRequest(RequestArrived arrival, RequestClass requestClass, long token) {
    this.arrival = arrival;
    this.requestClass = requestClass;
    this.idempotency = idempotency(arrival, requestClass);
    this.token = token;
  }

  private static Idempotency idempotency(RequestArrived arrival, RequestClass requestClass) {
    boolean lacksIdempotencyKey =
        requestClass.idempotency() == Idempotency.KEYED && !arrival.hasIdempotencyKey();
    return lacksIdempotencyKey ? Idempotency.NON_IDEMPOTENT : requestClass.idempotency();
  }

  String id() {
    return arrival.requestId();
  }

  /**
   * Returns whether the job has a key that determines its preferred workers. The idempotency key of
   * a request is a different key.
   */
  boolean hasKey() {
    return arrival.key() != null;
  }

  /** Returns the deadlines of the request; null until {@link #setDeadlines} is called. */
  RequestDeadlines deadlines() {
    return deadlines;
  }

  void setDeadlines(RequestDeadlines newDeadlines) {
    deadlines = newDeadlines;
  }

  /**
   * Returns the load threshold of the request, as a fraction of a worker's slots. A worker may
   * receive the request only if its load is below the threshold. {@link WorkerSelector} raises the
   * threshold while the mean load of all workers is high.
   */
  double loadThreshold() {
    return loadThreshold;
  }

  void setLoadThreshold(double threshold) {
    loadThreshold = threshold;
  }

  /** Returns the attempts in the order in which they were started. */
  List<AttemptState> attempts() {
    return attempts;
  }

  void addAttempt(AttemptState attempt) {
    attempts.add(attempt);
  }

  boolean anyAttemptOpen() {
    return attempts.stream().anyMatch(AttemptState::isOpen);
  }

  /** Returns whether a worker has reported the start of the job for an open attempt. */
  boolean anyAttemptRunning() {
    return attempts.stream().anyMatch(attempt -> attempt.isOpen() && attempt.hasStarted());
  }

  /** Returns the attempt that was started last. There must be at least one attempt. */
  AttemptState lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  /**
   * Returns the parameters from which the request's candidates are derived; null until {@link
   * #setCandidates} is called.
   */
  CandidateDraw candidates() {
    return candidates;
  }

  /**
   * Sets new parameters from which the candidates are derived. The health checks begin again with
   * the first round of candidates.
   */
  void setCandidates(CandidateDraw draw) {
    candidates = draw;
    healthCheckRound = draw.firstRound();
  }

  /**
   * Returns the distance by which the fallback sample is moved on in the ranking of the request's
   * key. The unit is the size of a sample.
   */
  int rankingOffsetInSampleSizes() {
    return rankingOffsetInSampleSizes;
  }

  void increaseRankingOffset(int sampleSizes) {
    rankingOffsetInSampleSizes += sampleSizes;
  }

  /**
   * Returns the first round of candidates that has not been considered for health checks, or that
   * is being considered now; null before the first call of {@link #setCandidates} and after the
   * last round.
   */
  CandidateRound healthCheckRound() {
    return healthCheckRound;
  }

  /**
   * Marks the round that {@link #healthCheckRound()} returns as considered, and moves on to the
   * next round. The round must not be null.
   */
  void advanceHealthCheckRound() {
    healthCheckRound = healthCheckRound.next();
  }

  /**
   * Counts a health check against the limit of {@link #MAX_HEALTH_CHECKS} for this request.
   *
   * @return whether the health check may be sent; false if the limit was already reached
   */
  boolean tryAcquireHealthCheck() {
    healthChecksRequested++;
    return healthChecksRequested <= MAX_HEALTH_CHECKS;
  }

  /** Returns whether the request waits for the health check of at least one worker. */
  boolean awaitsHealthCheck() {
    return pendingHealthChecks > 0;
  }

  void incrementPendingHealthChecks() {
    pendingHealthChecks++;
  }

  void decrementPendingHealthChecks() {
    pendingHealthChecks--;
  }

  void resetPendingHealthChecks() {
    pendingHealthChecks = 0;
  }

  /**
   * Returns whether the request has ended, that is, has its final answer or needs no answer any
   * more.
   */
  boolean hasEnded() {
    return ended;
  }

  /** Marks the request as ended. */
  void end() {
    ended = true;
  }
}
