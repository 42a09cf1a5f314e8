package loomreel.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import loomreel.decision.Action.SetTimer;

/** Requests that no worker had capacity for, until the next retry. */
final class RequestQueue {
  /** The mean pause between two retries is this part of the shortest latency objective. */
  private static final int RETRY_INTERVAL_DIVISOR = 16;

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

  /** Empties the queue: the highest priority first, then the newest. */
  List<PendingRequest> drain(Comparator<PendingRequest> byPriority) {
    List<PendingRequest> drained = waiting;
    waiting = new ArrayList<>();
    drained.sort(byPriority.thenComparingLong(request -> request.token).reversed());
    return drained;
  }

  /**
   * Schedules the next retry after a pause with jitter, unless the queue is empty or a retry is
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

  /** The scheduled retry has started. */
  void retryStarted() {
    retryScheduled = false;
  }
}
