package loomreel.decision;

import java.util.ArrayList;
import java.util.List;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;

/** A request until its answer is given and all of its attempts have ended. */
final class PendingRequest {
  private static final int MAX_HEALTH_CHECKS = 4 * WorkerSelector.SAMPLE_WITH_HEALTH_CHECKS;

  final RequestArrived arrival;
  final RequestClass requestClass;

  /** That of its class; without an idempotency key a keyed request is not idempotent. */
  final Idempotency idempotency;

  /** The token of its timers, and its number in the order of arrival. */
  final long token;

  private final List<AttemptState> attempts = new ArrayList<>(2);

  /** Null until it is admitted. */
  private RequestDeadlines deadlines;

  /** Null until its first placement. */
  private CandidateDraw candidates;

  /** The next round of candidates whose load may be queried; null after the last. */
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

  boolean hasKey() {
    return arrival.key() != null;
  }

  /** When its answer loses its value; null until {@link #setDeadlines}. */
  RequestDeadlines deadlines() {
    return deadlines;
  }

  void setDeadlines(RequestDeadlines newDeadlines) {
    deadlines = newDeadlines;
  }

  /** The load, as a fraction of a worker's slots, below which this request may go there. */
  double loadThreshold() {
    return loadThreshold;
  }

  void setLoadThreshold(double threshold) {
    loadThreshold = threshold;
  }

  /** The attempts in the order of their starts. */
  List<AttemptState> attempts() {
    return attempts;
  }

  void addAttempt(AttemptState attempt) {
    attempts.add(attempt);
  }

  boolean anyAttemptOpen() {
    return attempts.stream().anyMatch(AttemptState::isOpen);
  }

  boolean anyAttemptRunning() {
    return attempts.stream().anyMatch(attempt -> attempt.isOpen() && attempt.hasStarted());
  }

  AttemptState lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  /** What its candidates are drawn from; null until {@link #setCandidates}. */
  CandidateDraw candidates() {
    return candidates;
  }

  /** Sets new candidates, whose health checks start with the first round. */
  void setCandidates(CandidateDraw draw) {
    candidates = draw;
    healthCheckRound = draw.firstRound();
  }

  /** How far the fallback has moved down the key's ranking, in samples. */
  int rankingOffsetSamples() {
    return rankingOffsetSamples;
  }

  void increaseRankingOffset(int samples) {
    rankingOffsetSamples += samples;
  }

  /** The next round of candidates whose load may be queried; null after the last. */
  CandidateRound healthCheckRound() {
    return healthCheckRound;
  }

  void advanceHealthCheckRound() {
    healthCheckRound = healthCheckRound.next();
  }

  /** Takes one health check of those that the request may cause; false if none remains. */
  boolean tryAcquireHealthCheck() {
    healthChecksRequested++;
    return healthChecksRequested <= MAX_HEALTH_CHECKS;
  }

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

  /** Whether it has its answer, or needs none any more. */
  boolean hasEnded() {
    return ended;
  }

  void end() {
    ended = true;
  }
}
