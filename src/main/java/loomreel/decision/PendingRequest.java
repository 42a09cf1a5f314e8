package loomreel.decision;

import java.util.ArrayList;
import java.util.List;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;

/** A request that has no final answer yet, or that has open attempts. Times are in microseconds. */
final class PendingRequest {
  /** The maximum number of health checks that one request may cause. */
  private static final int MAX_HEALTH_CHECKS = 4 * WorkerSelector.SAMPLE_WITH_HEALTH_CHECKS;

  final RequestArrived arrival;
  final RequestClass requestClass;

  /**
   * The idempotency of the request's class, or {@link Idempotency#NON_IDEMPOTENT} if the class is
   * keyed and the request has no idempotency key.
   */
  final Idempotency idempotency;

  /** The token of the request's timers. Tokens increase in the order of arrival. */
  final long token;

  private final List<AttemptState> attempts = new ArrayList<>(2);

  /** Null until the request is admitted. */
  private RequestDeadlines deadlines;

  /** Null until the first candidates are drawn. */
  private CandidateDraw candidates;

  /** The next round of candidates that may receive health checks; null after the last round. */
  private CandidateRound healthCheckRound;

  private double loadThreshold = WorkerSelector.FULL_THRESHOLD;
  private int rankingOffsetSamples;
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
   * Returns whether the job has a key that determines its preferred workers. This is not the
   * idempotency key.
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
   * receive the request only if its load is below the threshold, which {@link WorkerSelector}
   * raises if all workers are loaded.
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

  /** Returns whether an open attempt has reported the start of its job. */
  boolean anyAttemptRunning() {
    return attempts.stream().anyMatch(attempt -> attempt.isOpen() && attempt.hasStarted());
  }

  /** Returns the attempt that was started last. There must be at least one. */
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

  /** Sets new parameters for the candidates and restarts the health checks with the first round. */
  void setCandidates(CandidateDraw draw) {
    candidates = draw;
    healthCheckRound = draw.firstRound();
  }

  /**
   * Returns the offset, in samples, at which the fallback starts in the ranking of the request's
   * key.
   */
  int rankingOffsetSamples() {
    return rankingOffsetSamples;
  }

  void increaseRankingOffset(int samples) {
    rankingOffsetSamples += samples;
  }

  /**
   * Returns the next round of candidates that may receive health checks; null after the last round.
   */
  CandidateRound healthCheckRound() {
    return healthCheckRound;
  }

  /** Moves to the next round of candidates. The current round must not be null. */
  void advanceHealthCheckRound() {
    healthCheckRound = healthCheckRound.next();
  }

  /**
   * Takes one of the health checks that the request may cause.
   *
   * @return false if none is left
   */
  boolean tryAcquireHealthCheck() {
    healthChecksRequested++;
    return healthChecksRequested <= MAX_HEALTH_CHECKS;
  }

  /** Returns whether the request waits for a health check of at least one worker. */
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

  /** Returns whether the request has its final answer or does not need one any more. */
  boolean hasEnded() {
    return ended;
  }

  /** Marks the request as ended. */
  void end() {
    ended = true;
  }
}
