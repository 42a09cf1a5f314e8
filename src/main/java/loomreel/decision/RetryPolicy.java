package loomreel.decision;

import loomreel.decision.Endpoint.State;
import loomreel.decision.Settings.Limits;

/**
 * Decides which attempts of a request are allowed by the rules of the platform and the limits of
 * the deployment. The number of attempts is limited, and no attempt is started at a draining
 * worker. If a request may have run and is not idempotent, it is not attempted again. If a keyed
 * request may have run, it is attempted again only at workers that deduplicate its attempts, and
 * only within the deduplication window.
 */
final class RetryPolicy {
  /**
   * The safety margin before the end of a deduplication window, in ticks of the dispatcher. A
   * request that depends on deduplication is not written to a worker within this margin.
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

  /**
   * Returns whether another attempt of a request may be started now, without regard to the worker.
   * {@link #allowsWorker} decides about the worker.
   */
  boolean allowsAttempt(PendingRequest request) {
    long now = context.now();
    return request.attempts().size() < limits.maxAttempts()
        && now < Math.min(request.deadlines().answerDeadline(), writeDeadline(request))
        && request.attempts().stream().allMatch(attempt -> permitsAnotherAttempt(request, attempt));
  }

  /**
   * Returns whether an existing attempt permits another attempt of its request. The existing
   * attempt may be open or ended.
   */
  private boolean permitsAnotherAttempt(PendingRequest request, AttemptState attempt) {
    boolean mayOverlap = !attempt.isOpen() || limits.hedging();
    boolean mayRepeat = attempt.neverRan() || request.idempotency != Idempotency.NON_IDEMPOTENT;
    return mayOverlap && mayRepeat && !attempt.isInvalid();
  }

  /**
   * Returns whether a worker may receive another attempt of a request. The worker must be ready and
   * listed, and each earlier attempt of the request must permit the worker.
   */
  boolean allowsWorker(PendingRequest request, WorkerState worker) {
    return worker.endpoint().state() == State.READY
        && workers.get(worker.id) == worker
        && request.attempts().stream().allMatch(attempt -> permitsWorker(attempt, worker));
  }

  /**
   * Returns whether an earlier attempt of a request permits another attempt at a worker. If the
   * earlier attempt never ran, it permits every worker. Otherwise the worker must not be that of
   * the earlier attempt. If the request is keyed, both workers must also be in the same
   * deduplication scope.
   */
  private static boolean permitsWorker(AttemptState attempt, WorkerState worker) {
    if (attempt.neverRan()) {
      return true;
    }
    PendingRequest request = attempt.request;
    boolean meetsDeduplicationRule =
        request.idempotency != Idempotency.KEYED
            || request
                .requestClass
                .deduplicationScope()
                .sharedBy(attempt.worker.endpoint(), worker.endpoint());
    return attempt.worker != worker && meetsDeduplicationRule;
  }

  /**
   * Returns the time, in microseconds, until which a request may be written to a worker. The time
   * is limited if the request is keyed and an attempt of it may have run. The limit is then shortly
   * before the end of the deduplication window. The window begins with the send of the first
   * attempt that may have run. In all other cases, the result is {@link Long#MAX_VALUE}.
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
   * Returns whether a hedged attempt of a request may be started now. It may be started if the
   * start of the last attempt is overdue and another attempt is allowed.
   */
  boolean shouldHedge(PendingRequest request) {
    return context.now() - request.lastAttempt().sentAt >= serviceTimes.startTimeout()
        && allowsAttempt(request);
  }
}
