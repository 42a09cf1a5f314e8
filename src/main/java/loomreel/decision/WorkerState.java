package loomreel.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The state of a worker that the endpoint list names, as known to this dispatcher. Times are in
 * microseconds.
 */
final class WorkerState {
  /** The time constant of the worker's service rate, in microseconds. */
  private static final double SERVICE_RATE_TIME_CONSTANT_MICROS = 4e6;

  /** The maximum backoff of an ejection, in microseconds. */
  private static final long MAX_EJECTION_MICROS = 16_000_000;

  private static final int EJECTION_BACKOFF_FACTOR = 2;

  /** The value of {@link #healthCheckSentAt} while no health check is pending. */
  private static final long NO_HEALTH_CHECK = -1;

  /**
   * The value of {@link #enabledAt} for a worker that no operator has enabled since its process
   * started.
   */
  private static final long NOT_ENABLED = 0;

  final String id;

  /** The hash of the id. */
  final long hash;

  /** Limits the work that is sent to the worker while it warms up. */
  final SlowStartLimiter slowStartLimiter = new SlowStartLimiter();

  final WorkerLoadHistory load = new WorkerLoadHistory();

  /**
   * The slots of recent attempts, which the last load report may not include yet. The sum decays
   * with the age of a load report at its arrival as its time constant.
   */
  final DecayingSum unreportedSlots;

  final ServiceRate serviceRate = new ServiceRate(SERVICE_RATE_TIME_CONSTANT_MICROS);

  private Endpoint endpoint;
  private long enabledAt;
  private long lastResponseAt;
  private long ejectedUntil;
  private long ejectionBackoff;
  private long healthCheckSentAt = NO_HEALTH_CHECK;
  private final List<PendingRequest> healthCheckWaiters = new ArrayList<>();
  private final List<AttemptState> openAttempts = new ArrayList<>();

  /**
   * Creates a worker without an endpoint.
   *
   * @param reportDelay the age of a load report when it arrives
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
   * Returns whether an entry of the endpoint list belongs to a newer process of the worker than the
   * current entry.
   */
  boolean isReplacedBy(Endpoint update) {
    return endpoint == null || update.startedAt() > endpoint.startedAt();
  }

  /** Replaces the worker's entry in the endpoint list. */
  void update(Endpoint newEndpoint) {
    endpoint = newEndpoint;
  }

  /** Marks the worker as removed from the endpoint list. */
  void markRemoved() {
    endpoint = endpoint.withState(Endpoint.State.REMOVED);
  }

  /**
   * Resets the state because the worker's process is new.
   *
   * @param allowance the work that may be sent to the worker at once, in slots multiplied by
   *     microseconds
   */
  void restart(long now, double allowance) {
    slowStartLimiter.restart(allowance, now);
    load.reset();
    ejectedUntil = Timestamp.NEVER;
    ejectionBackoff = 0;
    lastResponseAt = Timestamp.NEVER;
    enabledAt = NOT_ENABLED;
  }

  /** Starts a warm-up because an operator has enabled the worker. */
  void startWarmUp(long now) {
    enabledAt = now;
  }

  /**
   * Returns the time at which the worker's warm-up began: the start of its process, or the time at
   * which an operator enabled it; 0 if the process started long ago.
   */
  long warmUpStartedAt() {
    return Math.max(endpoint.startedAt(), enabledAt);
  }

  /** Records that the worker has sent a response of any kind. */
  void recordResponse(long now) {
    lastResponseAt = now;
  }

  /** Records that the worker has handled an attempt, which ends its ejection. */
  void recordReachable(long now) {
    lastResponseAt = now;
    ejectedUntil = Math.min(ejectedUntil, now);
    ejectionBackoff = 0;
  }

  /** Returns the time of the worker's last response, or {@link Timestamp#NEVER}. */
  long lastResponseAt() {
    return lastResponseAt;
  }

  boolean isEjected(long now) {
    return now < ejectedUntil;
  }

  /** Ejects the worker for a duration in microseconds, without a change of its backoff. */
  void ejectFor(long duration, long now) {
    ejectedUntil = now + duration;
  }

  /**
   * Ejects the worker with exponential backoff. The backoff doubles with each ejection, up to
   * {@link #MAX_EJECTION_MICROS}. The jitter prevents dispatchers from using the worker again at
   * the same time.
   *
   * @param firstBackoff the backoff of the first ejection, in microseconds
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

  /** Returns whether a health check has been pending for longer than a timeout in microseconds. */
  boolean isHealthCheckOverdue(long timeout, long now) {
    return isHealthCheckPending() && now - healthCheckSentAt > timeout;
  }

  void recordHealthCheckSent(long now) {
    healthCheckSentAt = now;
  }

  void recordHealthCheckEnded() {
    healthCheckSentAt = NO_HEALTH_CHECK;
  }

  /** Lets a request wait for the pending health check, unless it already does. */
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
   * Removes and returns the requests that wait for a health check, in the order in which they were
   * added.
   */
  List<PendingRequest> takeHealthCheckWaiters() {
    List<PendingRequest> waiters = List.copyOf(healthCheckWaiters);
    healthCheckWaiters.clear();
    return waiters;
  }
}
