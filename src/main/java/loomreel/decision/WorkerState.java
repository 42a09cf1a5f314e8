package loomreel.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The state of a worker in the endpoint list, as known to this dispatcher. Times are in
 * microseconds.
 */
final class WorkerState {
  /** The time constant, in microseconds, of the sums of service times and work of one worker. */
  private static final double SERVICE_RATE_TIME_CONSTANT_MICROS = 4e6;

  /**
   * The limit, in microseconds, up to which the backoff grows when a worker is ejected repeatedly.
   * The backoff of the first ejection is not limited. The duration of an ejection is drawn at
   * random from 0.5 to 1.5 times the backoff, so an ejection may last longer than this limit.
   */
  private static final long MAX_EJECTION_MICROS = 16_000_000;

  private static final int EJECTION_BACKOFF_FACTOR = 2;

  /** The value of {@link #healthCheckSentAt} while no health check is pending. */
  private static final long NO_HEALTH_CHECK = -1;

  /**
   * The value of {@link #operatorWarmUpStartedAt} if no command of an operator has started a
   * warm-up since the last call of {@link #restart}.
   */
  private static final long NO_OPERATOR_WARM_UP = 0;

  final String id;

  /** The hash of {@link #id}. */
  final long hash;

  /** Limits the work that is sent to the worker while it warms up. */
  final SlowStartLimiter slowStartLimiter = new SlowStartLimiter();

  final WorkerLoadHistory load = new WorkerLoadHistory();

  /**
   * The slots of the attempts at this worker that the last load report may not include yet. The
   * slots of an attempt are added when it is sent and subtracted when it ends. The added slots
   * decay over time, because later reports include the attempt. The time constant is the age that a
   * load report is assumed to have when it arrives.
   */
  final DecayingSum unreportedSlots;

  /** The service times and the work of the jobs that the worker has served. */
  final ServiceRate serviceRate = new ServiceRate(SERVICE_RATE_TIME_CONSTANT_MICROS);

  private Endpoint endpoint;

  /**
   * The start of the warm-up that began because an operator enabled the worker. If the worker's
   * process started while the worker was disabled, that start begins the warm-up instead, and this
   * field keeps the value {@link #NO_OPERATOR_WARM_UP}.
   */
  private long operatorWarmUpStartedAt;

  private long lastResponseAt;
  private long ejectedUntil;
  private long ejectionBackoff;
  private long healthCheckSentAt = NO_HEALTH_CHECK;
  private final List<PendingRequest> healthCheckWaiters = new ArrayList<>();
  private final List<AttemptState> openAttempts = new ArrayList<>();

  /**
   * Creates the state of a worker that has no entry in the endpoint list yet. {@link #update} sets
   * the entry.
   *
   * @param reportDelay the age that a load report is assumed to have when it arrives
   */
  WorkerState(String id, double reportDelay) {
    this.id = id;
    this.hash = Hashing.stringHash(id);
    this.unreportedSlots = new DecayingSum(reportDelay);
  }

  /** Returns the worker's entry in the endpoint list; null before the first {@link #update}. */
  Endpoint endpoint() {
    return endpoint;
  }

  /**
   * Returns whether a new entry of the endpoint list belongs to a newer process of the worker than
   * the current entry. The result is true if there is no current entry.
   */
  boolean isReplacedBy(Endpoint update) {
    return endpoint == null || update.startedAt() > endpoint.startedAt();
  }

  /** Sets the worker's entry in the endpoint list. */
  void update(Endpoint newEndpoint) {
    endpoint = newEndpoint;
  }

  /** Marks the worker as removed from the endpoint list. */
  void markRemoved() {
    endpoint = endpoint.withState(Endpoint.State.REMOVED);
  }

  /**
   * Resets the state because the worker's process is new or may be new. The slots and the loads in
   * {@link #load}, the service rate, and the open attempts remain.
   *
   * @param allowance the initial slow-start allowance, in slots multiplied by microseconds; this
   *     work may be sent to the worker at once
   */
  void restart(long now, double allowance) {
    slowStartLimiter.restart(allowance, now);
    load.reset();
    ejectedUntil = Timestamp.NEVER;
    ejectionBackoff = 0;
    lastResponseAt = Timestamp.NEVER;
    operatorWarmUpStartedAt = NO_OPERATOR_WARM_UP;
  }

  /** Starts a warm-up of the worker because an operator has enabled it. */
  void startWarmUp(long now) {
    operatorWarmUpStartedAt = now;
  }

  /**
   * Returns the time at which the last warm-up of the worker began. A warm-up begins when the
   * worker's process starts, and when {@link #startWarmUp} is called. The result is 0 if the
   * process started long ago or at an unknown time and {@link #startWarmUp} was not called since
   * the last {@link #restart}.
   */
  long warmUpStartedAt() {
    return Math.max(endpoint.startedAt(), operatorWarmUpStartedAt);
  }

  /** Records that the worker has sent a response of any kind. */
  void recordResponse(long now) {
    lastResponseAt = now;
  }

  /**
   * Records that the worker has responded to an attempt. The response ends an ejection of the
   * worker and resets the ejection backoff.
   */
  void recordReachable(long now) {
    lastResponseAt = now;
    ejectedUntil = Math.min(ejectedUntil, now);
    ejectionBackoff = 0;
  }

  /**
   * Returns the time of the worker's last response; {@link Timestamp#NEVER} if there is none since
   * the last {@link #restart}.
   */
  long lastResponseAt() {
    return lastResponseAt;
  }

  /** Returns whether the worker is ejected, so that it receives no attempts for now. */
  boolean isEjected(long now) {
    return now < ejectedUntil;
  }

  /**
   * Ejects the worker for a duration in microseconds. Does not change the backoff that {@link
   * #eject} uses.
   */
  void ejectFor(long duration, long now) {
    ejectedUntil = now + duration;
  }

  /**
   * Ejects the worker with exponential backoff. Each further ejection doubles the backoff, up to
   * {@link #MAX_EJECTION_MICROS}. {@link #recordReachable} and {@link #restart} reset the backoff.
   * The duration of the ejection is drawn at random from 0.5 to 1.5 times the backoff, so that the
   * dispatchers do not use the worker again at the same time.
   *
   * @param firstBackoff the backoff of the first ejection since the last reset, in microseconds
   */
  void eject(long firstBackoff, long now, SplittableRandom random) {
    ejectionBackoff =
        ejectionBackoff == 0
            ? firstBackoff
            : Math.min(MAX_EJECTION_MICROS, ejectionBackoff * EJECTION_BACKOFF_FACTOR);
    long jitter = random.nextLong(ejectionBackoff);
    ejectedUntil = now + ejectionBackoff / 2 + jitter;
  }

  /** Returns the attempts at this worker whose end has not been reported yet. */
  List<AttemptState> openAttempts() {
    return openAttempts;
  }

  /** Records that an attempt was sent to this worker. */
  void addAttempt(AttemptState attempt, long now) {
    openAttempts.add(attempt);
    unreportedSlots.add(attempt.request.arrival.slots(), now);
  }

  /** Records that an attempt at this worker has ended. */
  void removeAttempt(AttemptState attempt, long now) {
    openAttempts.remove(attempt);
    unreportedSlots.add(-attempt.request.arrival.slots(), now);
  }

  boolean isHealthCheckPending() {
    return healthCheckSentAt >= 0;
  }

  /**
   * Returns whether a health check of the worker is pending and was sent more than the given
   * timeout ago.
   *
   * @param timeout the timeout, in microseconds
   */
  boolean isHealthCheckOverdue(long timeout, long now) {
    return isHealthCheckPending() && now - healthCheckSentAt > timeout;
  }

  void recordHealthCheckSent(long now) {
    healthCheckSentAt = now;
  }

  void recordHealthCheckEnded() {
    healthCheckSentAt = NO_HEALTH_CHECK;
  }

  /**
   * Makes a request wait for the pending health check of the worker. Does nothing if the request
   * already waits for it.
   */
  void addHealthCheckWaiter(PendingRequest request) {
    if (!healthCheckWaiters.contains(request)) {
      healthCheckWaiters.add(request);
      request.incrementPendingHealthChecks();
    }
  }

  void removeHealthCheckWaiter(PendingRequest request) {
    healthCheckWaiters.remove(request);
  }

  /**
   * Removes all requests that wait for a health check of the worker, and returns them in the order
   * in which they were added.
   */
  List<PendingRequest> takeHealthCheckWaiters() {
    List<PendingRequest> waiters = List.copyOf(healthCheckWaiters);
    healthCheckWaiters.clear();
    return waiters;
  }
}
