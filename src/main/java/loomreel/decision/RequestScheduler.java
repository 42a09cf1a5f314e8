package loomreel.decision;

import java.util.Comparator;
import loomreel.decision.Action.StartAttempt;

/**
 * Schedules requests. It sends them to workers, queues them while no worker has capacity, hedges
 * and retries them, and gives them up.
 */
final class RequestScheduler {
  /** The maximum number of queued requests that are placed again in one retry of the queue. */
  private static final int MAX_REQUESTS_PER_QUEUE_RETRY = 32;

  /**
   * The number of samples by which the fallback advances in the ranking of a request's key each
   * time the request is queued.
   */
  private static final int RANKING_STEP_SAMPLES = 2;

  private final PolicyState state;
  private final PolicyContext context;
  private final RequestQueue queue;
  private final AttemptCanceller canceller;
  private final RetryPolicy retryPolicy;
  private final AdmissionController admission;
  private final WorkerSelector selector;
  private final HealthCheckPolicy healthCheckPolicy;

  RequestScheduler(PolicyState state, AttemptCanceller canceller) {
    this.state = state;
    this.canceller = canceller;
    context = state.context;
    queue = new RequestQueue(state);
    retryPolicy = new RetryPolicy(state);
    admission = new AdmissionController(state);
    selector = new WorkerSelector(state, retryPolicy);
    healthCheckPolicy = new HealthCheckPolicy(state, selector, retryPolicy);
  }

  /** Admits a new request, or rejects it if it arrived too late. */
  void admit(PendingRequest request) {
    admission.setDeadlines(request);
    if (context.now() >= request.deadlines().startDeadline()) {
      giveUp(request, RejectionReason.ARRIVED_TOO_LATE);
      return;
    }
    context.setTimer(request, request.deadlines().answerDeadline());
    admission.applyQuota(request);
    if (request.hasKey()) {
      state.keyAffinities.get(request).recordDemand(request, state.serviceTimes, context.now());
    }
    placeWithNewCandidates(request);
  }

  /** Draws new candidates for a request and places it. */
  private void placeWithNewCandidates(PendingRequest request) {
    selector.drawCandidates(request);
    place(request);
  }

  /**
   * Places a request: sends it to a worker, starts health checks of its candidates, queues it, or
   * gives it up. Does nothing if the request has ended or waits for a health check.
   */
  private void place(PendingRequest request) {
    if (request.hasEnded() || request.awaitsHealthCheck()) {
      return;
    }
    if (!retryPolicy.allowsAttempt(request)) {
      // The deduplication window of a keyed request may have ended while the request waited.
      giveUpUnlessAttemptOpen(request);
      return;
    }
    if (context.now() >= request.deadlines().startDeadline()) {
      giveUp(request, admission.expirationReason(request));
      return;
    }
    if (healthCheckPolicy.checkCandidates(request)) {
      return;
    }
    WorkerState worker = selector.select(request);
    if (worker != null) {
      startAttempt(request, worker);
    } else if (admission.isOverQuota(request)) {
      giveUp(request, RejectionReason.QUOTA_EXCEEDED);
    } else {
      request.increaseRankingOffset(RANKING_STEP_SAMPLES);
      queue.add(request);
      queue.scheduleRetry();
    }
  }

  /** Retries the queued requests, and schedules the next retry if some of them remain queued. */
  void retryQueueAndReschedule() {
    queue.retryStarted();
    retryQueue();
    queue.scheduleRetry();
  }

  /**
   * Places the queued requests with the highest priorities again, up to {@link
   * #MAX_REQUESTS_PER_QUEUE_RETRY}, and gives up those whose answer has no value any more. The
   * others stay queued.
   */
  private void retryQueue() {
    int retried = 0;
    for (PendingRequest request : queue.drain(Comparator.comparingDouble(this::priority))) {
      if (retried++ < MAX_REQUESTS_PER_QUEUE_RETRY
          || context.now() >= request.deadlines().startDeadline()) {
        placeWithNewCandidates(request);
      } else if (!request.hasEnded()) {
        queue.add(request);
      }
    }
  }

  /**
   * Returns the priority of a queued request, which is the value of its answer at this time divided
   * by its expected work.
   */
  private double priority(PendingRequest request) {
    boolean hasFullValue = context.now() < request.deadlines().latestFullValueStart();
    return request.requestClass.priorityWeight()
        / state.serviceTimes.expectedWork(request)
        * (hasFullValue ? 1 : request.requestClass.latePriorityFraction());
  }

  /**
   * Retries the queued requests at once if an endpoint belongs to a worker that pulls its jobs,
   * because such a worker reports free capacity as soon as it has some.
   */
  void retryQueueForPullWorker(Endpoint endpoint) {
    if (endpoint.queues() != null && !queue.isEmpty()) {
      retryQueue();
    }
  }

  /**
   * Places the requests that waited for a health check of a worker, except those that still wait
   * for a health check of another worker.
   */
  void placeAfterHealthCheck(WorkerState worker) {
    for (PendingRequest request : worker.takeHealthCheckWaiters()) {
      request.decrementPendingHealthChecks();
      if (!request.awaitsHealthCheck()) {
        place(request);
      }
    }
  }

  /** Starts an attempt of a request at a worker. No other method emits {@link StartAttempt}. */
  private void startAttempt(PendingRequest request, WorkerState worker) {
    long writeDeadline = retryPolicy.writeDeadline(request);
    context.emit(new StartAttempt(request.id(), worker.id, 0, writeDeadline));
    state.recordAttempt(request, worker);
    if (context.settings().reportsJobStart()) {
      long startTimeout = (long) state.serviceTimes.startTimeout();
      context.setTimer(request, context.now() + startTimeout + context.settings().tick());
      context.setTimer(request, request.deadlines().startDeadline());
    }
  }

  /**
   * Starts another attempt of a request after an attempt has ended without an answer. If no further
   * attempt is allowed and none is open, gives the request up.
   */
  void retryOrGiveUp(PendingRequest request) {
    if (retryPolicy.allowsAttempt(request)) {
      placeWithNewCandidates(request);
    } else {
      giveUpUnlessAttemptOpen(request);
    }
  }

  /**
   * Handles a timer of a request, which fires when a health check, the start of its job, or its
   * answer is overdue.
   */
  void handleRequestTimer(PendingRequest request) {
    if (context.now() >= request.deadlines().answerDeadline()) {
      giveUp(request, RejectionReason.CLIENT_DEADLINE);
      return;
    }
    if (!request.anyAttemptOpen() && request.awaitsHealthCheck()) {
      state.workers.removeHealthCheckWaiter(request);
      request.resetPendingHealthChecks();
      place(request);
    }
    if (request.anyAttemptOpen() && !request.anyAttemptRunning()) {
      hedgeOrGiveUp(request);
    }
  }

  /** Gives up a request whose attempts have not started, or hedges it if a start is overdue. */
  private void hedgeOrGiveUp(PendingRequest request) {
    if (context.now() >= request.deadlines().startDeadline()) {
      giveUp(request, RejectionReason.NOT_STARTED_IN_TIME);
    } else if (retryPolicy.shouldHedge(request)) {
      WorkerState worker = selector.select(request);
      if (worker != null) {
        startAttempt(request, worker);
      }
    }
  }

  /**
   * Gives up a request for which no further attempt is allowed, unless one of its attempts is open.
   */
  private void giveUpUnlessAttemptOpen(PendingRequest request) {
    if (!request.anyAttemptOpen()) {
      giveUp(request, RejectionReason.RETRIES_EXHAUSTED);
    }
  }

  private void giveUp(PendingRequest request, RejectionReason reason) {
    end(request, admission.giveUp(request, reason));
  }

  /** Ends a request that already has its answer or does not need one any more. */
  void endWithoutAnswer(PendingRequest request) {
    end(request, null);
  }

  /**
   * Ends a request. Every request is ended by this method. Does nothing if the request has ended.
   *
   * @param answer the action that gives the final answer; null if no answer is needed
   */
  private void end(PendingRequest request, Action answer) {
    if (request.hasEnded()) {
      return;
    }
    request.end();
    state.requests.end(request);
    queue.remove(request);
    if (answer != null) {
      context.emit(answer);
    }
    canceller.cancelAll(request);
    state.requests.removeIfComplete(request);
  }
}
