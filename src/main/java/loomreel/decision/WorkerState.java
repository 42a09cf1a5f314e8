package loomreel.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** What this dispatcher knows of a worker that the endpoint list names. */
final class WorkerState {
  private static final double SERVICE_RATE_TIME_CONSTANT_MICROS = 4e6;
  private static final long MAX_EJECTION_MICROS = 16_000_000;
  private static final int EJECTION_BACKOFF_FACTOR = 2;
  private static final long NO_HEALTH_CHECK = -1;

  /** Stands for a worker that no operator has enabled since its process started. */
  private static final long NOT_ENABLED = 0;

  final String id;
  final long hash;

  /** Limits what is sent while the worker warms up. */
  final SlowStartLimiter slowStartLimiter = new SlowStartLimiter();

  final WorkerLoadHistory load = new WorkerLoadHistory();

  /** Slots of the attempts sent since about the last report: what the report does not show. */
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
   * @param reportDelay the age of a load report on its arrival, in microseconds
   */
  WorkerState(String id, double reportDelay) {
    this.id = id;
    this.hash = Hashing.stringHash(id);
    this.unreportedSlots = new DecayingSum(reportDelay);
  }

  /** The worker's entry in the endpoint list; null until its first update. */
  Endpoint endpoint() {
    return endpoint;
  }

  /** Whether an entry of the endpoint list belongs to a newer process than the known one. */
  boolean isReplacedBy(Endpoint update) {
    return endpoint == null || update.startedAt() > endpoint.startedAt();
  }

  /** Takes over an entry of the endpoint list. */
  void update(Endpoint newEndpoint) {
    endpoint = newEndpoint;
  }

  /** Marks the worker as missing from the endpoint list. */
  void markRemoved() {
    endpoint = endpoint.withState(Endpoint.State.REMOVED);
  }

  /**
   * The worker's process is new: forgets what was known of the previous one.
   *
   * @param allowance the work that may be sent at once, in slots times microseconds
   */
  void restart(long now, double allowance) {
    slowStartLimiter.restart(allowance, now);
    load.reset();
    ejectedUntil = Timestamp.NEVER;
    ejectionBackoff = 0;
    lastResponseAt = Timestamp.NEVER;
    enabledAt = NOT_ENABLED;
  }

  /** The worker warms up from now on, since an operator has enabled it. */
  void startWarmUp(long now) {
    enabledAt = now;
  }

  /**
   * When its warm-up began: at the start of its process, or when an operator enabled it; 0 if it
   * has been up for long.
   */
  long warmUpStartedAt() {
    return Math.max(endpoint.startedAt(), enabledAt);
  }

  /** The worker has sent a response of any kind. */
  void recordResponse(long now) {
    lastResponseAt = now;
  }

  /** The worker has handled an attempt: it is reachable, and no longer ejected. */
  void recordReachable(long now) {
    lastResponseAt = now;
    ejectedUntil = Math.min(ejectedUntil, now);
    ejectionBackoff = 0;
  }

  /** When it last sent a response, or {@link Timestamp#NEVER}. */
  long lastResponseAt() {
    return lastResponseAt;
  }

  boolean isEjected(long now) {
    return now < ejectedUntil;
  }

  /** Takes this worker out of selection for a time in microseconds, without a longer backoff. */
  void ejectFor(long duration, long now) {
    ejectedUntil = now + duration;
  }

  /**
   * Takes this worker out of selection, twice as long each time up to {@link #MAX_EJECTION_MICROS},
   * with jitter so that dispatchers do not return together.
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

  /** Attempts here whose end has not been reported yet. */
  List<AttemptState> openAttempts() {
    return openAttempts;
  }

  /** An attempt has been sent here. */
  void addAttempt(AttemptState attempt, long now) {
    openAttempts.add(attempt);
    unreportedSlots.add(attempt.request.arrival.slots(), now);
  }

  /** An attempt here has ended. */
  void removeAttempt(AttemptState attempt, long now) {
    openAttempts.remove(attempt);
    unreportedSlots.add(-attempt.request.arrival.slots(), now);
  }

  boolean isHealthCheckPending() {
    return healthCheckSentAt >= 0;
  }

  /** Whether a health check has been pending for longer than a time, in microseconds. */
  boolean isHealthCheckOverdue(long timeout, long now) {
    return isHealthCheckPending() && now - healthCheckSentAt > timeout;
  }

  void recordHealthCheckSent(long now) {
    healthCheckSentAt = now;
  }

  void recordHealthCheckEnded() {
    healthCheckSentAt = NO_HEALTH_CHECK;
  }

  /** Has a request wait for the pending health check, unless it does already. */
  void addHealthCheckWaiter(PendingRequest request) {
    if (!healthCheckWaiters.contains(request)) {
      healthCheckWaiters.add(request);
      request.incrementPendingHealthChecks();
    }
  }

  void removeHealthCheckWaiter(PendingRequest request) {
    healthCheckWaiters.remove(request);
  }

  /** Removes and returns the requests that wait for a health check, in the order of waiting. */
  List<PendingRequest> takeHealthCheckWaiters() {
    List<PendingRequest> waiters = List.copyOf(healthCheckWaiters);
    healthCheckWaiters.clear();
    return waiters;
  }
}
