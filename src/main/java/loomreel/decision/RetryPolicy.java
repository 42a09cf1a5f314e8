package loomreel.decision;

import loomreel.decision.Endpoint.State;
import loomreel.decision.Settings.Limits;

/**
 * Decides which further attempts of a request the rules of the platform allow. The number of
 * attempts is limited, and no attempt is started at a draining worker. A request that is not
 * idempotent is not attempted again if it may have run. A keyed request that may have run is
 * attempted again only at workers that deduplicate its attempts, and only within the deduplication
 * window.
 */
final class RetryPolicy {
  /**
   * The time, in ticks of the dispatcher, between the latest time to write the request of an
   * attempt and the end of the deduplication window.
   */
  private static final int WRITE_MARGIN_TICKS = 2;

  private final PolicyContext context;
  private final Limits limits;
  private final WorkerTable workers;
  private final ServiceTimeEstimator serviceTimes;

  RetryPolicy(PolicyState state) {
    context = state.context;
    limits = context.settings().limits();
    workers = state.workers;
    serviceTimes = state.serviceTimes;
  }

  /** Returns whether another attempt of a request may be started now, at some worker. */
  boolean allowsAttempt(PendingRequest request) {
    long now = context.now();
    return request.attempts().size() < limits.maxAttempts()
        && now < Math.min(request.deadlines().answerDeadline(), writeDeadline(request))
        && request.attempts().stream()
            .allMatch(attempt -> allowsAnotherAttemptAfter(request, attempt));
  }

  /** Returns whether an attempt, open or ended, permits another attempt of its request. */
  private boolean allowsAnotherAttemptAfter(PendingRequest request, AttemptState attempt) {
    boolean mayOverlap = !attempt.isOpen() || limits.hedging();
    boolean mayRepeat = attempt.neverRan() || request.idempotency != Idempotency.NON_IDEMPOTENT;
    return mayOverlap && mayRepeat && !attempt.isInvalid();
  }

  /** Returns whether an attempt of a request may be started at a worker. */
  boolean allowsWorker(PendingRequest request, WorkerState worker) {
    return worker.endpoint().state() == State.READY
        && workers.get(worker.id) == worker
        && request.attempts().stream().allMatch(attempt -> allowsAttemptAfter(attempt, worker));
  }

  /**
   * Returns whether another attempt of the same request may be started at a worker after the given
   * attempt. If the given attempt may have run, the worker must be a different one and, for a keyed
   * request, must be in the same deduplication scope.
   */
  private static boolean allowsAttemptAfter(AttemptState attempt, WorkerState worker) {
    if (attempt.neverRan()) {
      return true;
    }
    PendingRequest request = attempt.request;
    boolean isDeduplicated =
        request.idempotency != Idempotency.KEYED
            || request
                .requestClass
                .deduplicationScope()
                .sharedBy(attempt.worker.endpoint(), worker.endpoint());
    return attempt.worker != worker && isDeduplicated;
  }

  /**
   * Returns the time, in microseconds, until which the request of an attempt may be written to its
   * worker. For a keyed request with an attempt that may have run, this is shortly before the end
   * of the deduplication window. Otherwise it is {@link Long#MAX_VALUE}.
   */
  long writeDeadline(PendingRequest request) {
    long firstSentAt = Timestamp.NEVER;
    for (AttemptState attempt : request.attempts()) {
      if (!attempt.neverRan() && (firstSentAt == Timestamp.NEVER || attempt.sentAt < firstSentAt)) {
        firstSentAt = attempt.sentAt;
      }
    }
    if (request.idempotency != Idempotency.KEYED || firstSentAt == Timestamp.NEVER) {
      return Long.MAX_VALUE;
    }
    long window = request.requestClass.deduplicationWindow();
    return firstSentAt + window - WRITE_MARGIN_TICKS * context.settings().tick();
  }

  /**
   * Returns whether a hedged attempt may be started because the start of the last attempt is
   * overdue.
   */
  boolean shouldHedge(PendingRequest request) {
    return context.now() - request.lastAttempt().sentAt >= serviceTimes.startTimeout()
        && allowsAttempt(request);
  }
}
