package loomreel.decision;

import java.util.Comparator;
import loomreel.decision.Action.StartAttempt;

/**
 * Schedules requests. The scheduler sends requests to workers, queues them while no worker has
 * capacity, retries and hedges them, and gives them up.
 */
final class RequestScheduler {
  /** The maximum number of queued requests that one retry of the queue places again. */
  private static final int MAX_REQUESTS_PER_QUEUE_RETRY = 32;

  /**
   * The amount by which the ranking offset of a request increases each time the request is queued.
   * If the request has a key, the fallback of {@link WorkerSelector} considers a sample of
   * consecutive workers in the ranking of the workers for the key. The ranking offset moves the
   * start of this sample further down the ranking. It is ignored while the mean load of all workers
   * is high. The unit of the offset is the size of the sample.
   */
  private static final int RANKING_STEP_IN_SAMPLE_SIZES = 2;

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

  /**
   * Admits a new request and places it. Rejects the request if its start deadline has already
   * passed.
   */
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

  /**
   * Replaces the parameters from which the candidate workers of a request are derived, then calls
   * {@link #place}. {@link CandidateDraw} describes the parameters.
   */
  private void placeWithNewCandidates(PendingRequest request) {
    selector.drawCandidateParameters(request);
    place(request);
  }

  /**
   * Places a request. Placing sends the request to a worker, makes it wait for health checks of its
   * candidates, queues it, or gives it up. Does nothing if the request has ended or already waits
   * for a health check. Also does nothing if an attempt of the request is open and no further
   * attempt is allowed.
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
      request.increaseRankingOffset(RANKING_STEP_IN_SAMPLE_SIZES);
      queue.add(request);
      queue.scheduleRetry();
    }
  }

  /**
   * Performs the scheduled retry of the queue, and schedules the next retry if requests remain in
   * the queue.
   */
  void retryQueueAndReschedule() {
    queue.retryStarted();
    retryQueue();
    queue.scheduleRetry();
  }

  /**
   * Places the queued requests with the highest priorities again, up to {@link
   * #MAX_REQUESTS_PER_QUEUE_RETRY}. Also gives up every other request whose start deadline has
   * passed. The remaining requests stay in the queue.
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
   * Returns the priority of a queued request: the value that its answer would have if the job
   * started now, divided by the expected work of the request.
   */
  private double priority(PendingRequest request) {
    boolean hasFullValue = context.now() < request.deadlines().objectiveStartDeadline();
    return request.requestClass.priorityWeight()
        / state.serviceTimes.expectedWork(request)
        * (hasFullValue ? 1 : request.requestClass.latePriorityFraction());
  }

  /**
   * Retries the queued requests at once if an endpoint names queues. The reason is that the worker
   * of such an endpoint pulls its jobs and reports free capacity as soon as it has some.
   */
  void retryQueueForPullWorker(Endpoint endpoint) {
    if (endpoint.queues() != null && !queue.isEmpty()) {
      retryQueue();
    }
  }

  /**
   * Places the requests that waited for the health check of a worker. A request that still waits
   * for the health check of another worker is not placed yet.
   */
  void placeAfterHealthCheck(WorkerState worker) {
    for (PendingRequest request : worker.takeHealthCheckWaiters()) {
      request.decrementPendingHealthChecks();
      if (!request.awaitsHealthCheck()) {
        place(request);
      }
    }
  }

  /**
   * Starts an attempt of a request at a worker. This is the only method that emits {@link
   * StartAttempt}.
   */
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
   * Handles a request after one of its attempts has ended without a final answer. If another
   * attempt is allowed, places the request again. Otherwise gives the request up, unless another
   * attempt of the request is still open.
   */
  void retryOrGiveUp(PendingRequest request) {
    if (retryPolicy.allowsAttempt(request)) {
      placeWithNewCandidates(request);
    } else {
      giveUpUnlessAttemptOpen(request);
    }
  }

  /**
   * Handles a timer of a request. The timer may have been set for the answer deadline, for the
   * start deadline, for the start timeout of an attempt, or for the timeout of a health check. If
   * the answer deadline has passed, gives the request up. If the request still waits for health
   * checks and no attempt is open, ends this wait and places the request.
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

  /**
   * Handles a request with open attempts of which none has started. If the start deadline has
   * passed, gives the request up. Otherwise, if the start of the last attempt is overdue and the
   * rules allow another attempt, starts a hedged attempt at another worker.
   */
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
   * Gives up a request for which no further attempt is allowed. Does nothing if an attempt of the
   * request is still open.
   */
  private void giveUpUnlessAttemptOpen(PendingRequest request) {
    if (!request.anyAttemptOpen()) {
      giveUp(request, RejectionReason.RETRIES_EXHAUSTED);
    }
  }

  private void giveUp(PendingRequest request, RejectionReason reason) {
    end(request, admission.giveUp(request, reason));
  }

  /**
   * Ends a request without emitting an answer, because the request already has its final answer or
   * needs none any more.
   */
  void endWithoutAnswer(PendingRequest request) {
    end(request, null);
  }

  /**
   * Ends a request and cancels its open attempts. Every request is ended by this method. Does
   * nothing if the request has already ended.
   *
   * @param answer the action that gives the final answer; null if none is needed
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
