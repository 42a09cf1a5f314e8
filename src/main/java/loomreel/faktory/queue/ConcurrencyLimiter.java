package loomreel.faktory.queue;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how many attempts are in flight, in all and for each queue.
 *
 * <p>Each queue is entitled to a part of the capacity by its weight, and has a {@link
 * CongestionWindow}: a backlog neither crowds out HTTP clients nor tries a saturated fleet in a
 * busy loop, and a queue whose jobs are rejected does not block another. Reads no clock; times are
 * microseconds.
 */
public final class ConcurrencyLimiter {
  /**
   * Fraction of a queue's unused entitlement that the others leave free for it, so that it is
   * available at once.
   */
  private static final double RESERVED_FRACTION = 0.5;

  /** The number of queues below which idle ones are not removed. */
  private static final int MIN_SWEEP_SIZE = 2 * QueueLimits.MAX_QUEUES;

  private static final class QueueState {
    private final int weight;
    private int inFlight;
    private final CongestionWindow window = new CongestionWindow();

    QueueState(int weight) {
      this.weight = weight;
    }
  }

  private final QueueWeights weights;
  private final Map<String, QueueState> queues = new HashMap<>();
  private int nextSweepSize = MIN_SWEEP_SIZE;
  private int totalWeight;
  private int capacity = 1;
  private int inFlight;

  /** Creates a limiter with no attempt in flight. */
  public ConcurrencyLimiter(QueueWeights weights) {
    this.weights = weights;
    weights.forEachNamedQueue(this::queue);
  }

  /** Sets how many attempts may be in flight in all; at least one may. */
  public void setCapacity(int attempts) {
    capacity = Math.max(1, attempts);
  }

  private QueueState queue(String name) {
    if (queues.size() >= nextSweepSize && !queues.containsKey(name)) {
      removeIdleQueues();
    }
    return queues.computeIfAbsent(
        name,
        newName -> {
          QueueState queue = new QueueState(weights.of(newName));
          totalWeight += queue.weight;
          return queue;
        });
  }

  /**
   * Removes the queues without an attempt in flight, which have a new window when they are used
   * again: clients may use ever new names.
   */
  private void removeIdleQueues() {
    queues.entrySet().removeIf(entry -> entry.getValue().inFlight == 0 && !isNamed(entry.getKey()));
    totalWeight = queues.values().stream().mapToInt(queue -> queue.weight).sum();
    nextSweepSize = Math.max(MIN_SWEEP_SIZE, 2 * queues.size());
  }

  private boolean isNamed(String queueName) {
    return weights.isNamed(queueName);
  }

  private double entitlement(QueueState queue) {
    return Math.max(1, capacity * (double) queue.weight / totalWeight);
  }

  /** Whether an attempt of a queue may start now. */
  public boolean mayStart(String queueName, long now) {
    QueueState queue = queue(queueName);
    return !queue.window.isPaused(now) && hasCapacity(queue);
  }

  private boolean hasCapacity(QueueState queue) {
    if (inFlight >= capacity || queue.inFlight >= (int) queue.window.size()) {
      return false;
    }
    return queue.inFlight < (int) entitlement(queue)
        || capacity - inFlight > reservedForOthersThan(queue);
  }

  private double reservedForOthersThan(QueueState queue) {
    double reserved = 0;
    for (QueueState other : queues.values()) {
      if (other != queue) {
        reserved += RESERVED_FRACTION * Math.max(0, entitlement(other) - other.inFlight);
      }
    }
    return reserved;
  }

  /** When the first pause of some queues ends; {@link Long#MAX_VALUE} where none is paused. */
  public long resumesAt(Iterable<String> queueNames, long now) {
    long first = Long.MAX_VALUE;
    for (String name : queueNames) {
      CongestionWindow window = queue(name).window;
      if (window.isPaused(now)) {
        first = Math.min(first, window.pausedUntil());
      }
    }
    return first;
  }

  /** Records that an attempt has started. */
  public void recordStart(String queueName) {
    inFlight++;
    queue(queueName).inFlight++;
  }

  private QueueState recordEnd(String queueName) {
    inFlight--;
    QueueState queue = queue(queueName);
    queue.inFlight--;
    return queue;
  }

  /** Records that an attempt in flight was served. */
  public void recordServed(String queueName) {
    recordEnd(queueName).window.onServed(capacity);
  }

  /** Records that an attempt in flight failed, which is no sign of a lack of capacity. */
  public void recordFailed(String queueName) {
    recordEnd(queueName);
  }

  /** Records that an attempt in flight was rejected. */
  public void recordRejected(String queueName, long now) {
    recordEnd(queueName).window.onRejected(now);
  }

  /** How many attempts of a queue may be in flight now. */
  double window(String queueName) {
    return queue(queueName).window.size();
  }
}
