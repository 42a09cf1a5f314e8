package loomreel.decision;

import java.util.Comparator;
import loomreel.decision.Action.StartAttempt;

/** Places requests: sends them to workers, queues them, hedges them and gives them up. */
final class RequestScheduler {
  /** How many queued requests are retried at a time. */
  private static final int MAX_REQUESTS_PER_QUEUE_RETRY = 32;

  /** By how many samples the fallback moves down the ranking each time a request is queued. */
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

  /** Admits a new request, or rejects it. */
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

  private void placeWithNewCandidates(PendingRequest request) {
    selector.drawCandidates(request);
    place(request);
  }

  /** Sends a request, checks its candidates, queues it or gives it up. */
  private void place(PendingRequest request) {
    if (request.hasEnded() || request.awaitsHealthCheck()) {
      return;
    }
    if (!retryPolicy.allowsAttempt(request)) {
      // The deduplication window of keyed work may have ended while the request waited.
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

  /** Retries the queued requests, and schedules the next retry if some remain queued. */
  void retryQueueAndReschedule() {
    queue.retryStarted();
    retryQueue();
    queue.scheduleRetry();
  }

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

  /** The value of a request's answer for its work. */
  private double priority(PendingRequest request) {
    boolean hasFullValue = context.now() < request.deadlines().latestFullValueStart();
    return request.requestClass.priorityWeight()
        / state.serviceTimes.expectedWork(request)
        * (hasFullValue ? 1 : request.requestClass.latePriorityFraction());
  }

  /** A worker that pulls its jobs reports free capacity at once: queued requests need not wait. */
  void retryQueueForPullWorker(Endpoint endpoint) {
    if (endpoint.queues() != null && !queue.isEmpty()) {
      retryQueue();
    }
  }

  /** Places the requests that waited for the load of a worker and for no other. */
  void placeAfterHealthCheck(WorkerState worker) {
    for (PendingRequest request : worker.takeHealthCheckWaiters()) {
      request.decrementPendingHealthChecks();
      if (!request.awaitsHealthCheck()) {
        place(request);
      }
    }
  }

  /** The only place that starts an attempt. */
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

  /** An attempt has ended without an answer: starts another one, if that is allowed. */
  void retryOrGiveUp(PendingRequest request) {
    if (retryPolicy.allowsAttempt(request)) {
      placeWithNewCandidates(request);
    } else {
      giveUpUnlessAttemptOpen(request);
    }
  }

  /** A request's timer has fired: a health check, a start or the answer is overdue. */
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

  /** No attempt has started yet: gives the request up, or hedges it if a start is overdue. */
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

  private void giveUpUnlessAttemptOpen(PendingRequest request) {
    if (!request.anyAttemptOpen()) {
      giveUp(request, RejectionReason.RETRIES_EXHAUSTED);
    }
  }

  private void giveUp(PendingRequest request, RejectionReason reason) {
    end(request, admission.giveUp(request, reason));
  }

  /** Ends a request that has its answer, or whose client has disconnected. */
  void endWithoutAnswer(PendingRequest request) {
    end(request, null);
  }

  /** The only place that ends a request; the answer is null where none is needed. */
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
