package loomreel.decision;

import loomreel.decision.Endpoint.State;
import loomreel.decision.Settings.Limits;

/**
 * Which further attempts the platform's rules allow: no more than the limit, none at a worker that
 * drains, no repetition of work that is not idempotent and may have run, and repetitions of keyed
 * work only where and while workers deduplicate them.
 */
final class RetryPolicy {
  /** Ticks before the end of the deduplication window at which a write has to be complete. */
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

  /** Whether a request may have another attempt now, at any worker. */
  boolean allowsAttempt(PendingRequest request) {
    long now = context.now();
    return request.attempts().size() < limits.maxAttempts()
        && now < Math.min(request.deadlines().answerDeadline(), writeDeadline(request))
        && request.attempts().stream()
            .allMatch(attempt -> allowsAnotherAttemptAfter(request, attempt));
  }

  private boolean allowsAnotherAttemptAfter(PendingRequest request, AttemptState attempt) {
    boolean mayOverlap = !attempt.isOpen() || limits.hedging();
    boolean mayRepeat = attempt.neverRan() || request.idempotency != Idempotency.NON_IDEMPOTENT;
    return mayOverlap && mayRepeat && !attempt.isInvalid();
  }

  /** Whether the rules allow an attempt of a request at this worker. */
  boolean allowsWorker(PendingRequest request, WorkerState worker) {
    return worker.endpoint().state() == State.READY
        && workers.get(worker.id) == worker
        && request.attempts().stream().allMatch(attempt -> allowsAttemptAfter(attempt, worker));
  }

  /** What may have run is repeated at another worker, keyed work within its scope alone. */
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
   * Until when an attempt of a request may be written: the end of the deduplication window, if an
   * attempt of keyed work may have run; else unlimited.
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

  /** Whether a second attempt may be started beside one whose start is overdue. */
  boolean shouldHedge(PendingRequest request) {
    return context.now() - request.lastAttempt().sentAt >= serviceTimes.startTimeout()
        && allowsAttempt(request);
  }
}
