package loomreel.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import loomreel.decision.Action.SetTimer;

/**
 * The requests that wait because no worker had capacity for them. A retry of the queue takes
 * requests from the queue and tries to place them again.
 */
final class RequestQueue {
  /**
   * The mean interval between two retries of the queue is the shortest latency objective divided by
   * this number, but at least {@link #MIN_RETRY_INTERVAL_TICKS}.
   */
  private static final int RETRY_INTERVAL_DIVISOR = 16;

  /** The minimum mean interval between two retries of the queue, in ticks of the dispatcher. */
  private static final int MIN_RETRY_INTERVAL_TICKS = 2;

  private final PolicyState state;
  private List<PendingRequest> waiting = new ArrayList<>();
  private boolean retryScheduled;

  RequestQueue(PolicyState state) {
    this.state = state;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  void add(PendingRequest request) {
    waiting.add(request);
  }

  void remove(PendingRequest request) {
    waiting.remove(request);
  }

  /**
   * Removes all requests from the queue and returns them. The request with the highest priority
   * comes first. Among requests of equal priority, the request that arrived last comes first.
   */
  List<PendingRequest> drain(Comparator<PendingRequest> byPriority) {
    List<PendingRequest> drained = waiting;
    waiting = new ArrayList<>();
    drained.sort(byPriority.thenComparingLong(request -> request.token).reversed());
    return drained;
  }

  /**
   * Schedules the next retry of the queue. The time until the retry is drawn at random from 0.5 to
   * 1.5 times the mean interval. Does nothing if the queue is empty or a retry is already
   * scheduled.
   */
  void scheduleRetry() {
    if (retryScheduled || waiting.isEmpty()) {
      return;
    }
    retryScheduled = true;
    long minRetryInterval = MIN_RETRY_INTERVAL_TICKS * state.context.settings().tick();
    long shortestObjective = state.serviceTimes.shortestObjective();
    long retryInterval = Math.max(minRetryInterval, shortestObjective / RETRY_INTERVAL_DIVISOR);
    long jitter = state.context.random().nextLong(retryInterval);
    long retryAt = state.context.now() + retryInterval / 2 + jitter;
    state.context.emit(new SetTimer(retryAt, PolicyState.QUEUE_TIMER));
  }

  /** Records that the scheduled retry of the queue has started. */
  void retryStarted() {
    retryScheduled = false;
  }
}
