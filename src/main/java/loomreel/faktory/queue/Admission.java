package loomreel.faktory.queue;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which queue's job is tried next, and whether one may be now.
 *
 * <p>Queues share by weight (smooth weighted round robin). Each has a {@link CongestionWindow} of
 * its own: a backlog neither crowds out HTTP clients nor tries a full fleet in a busy loop, and a
 * queue whose jobs are stuck does not block another. Reads no clock; times are microseconds.
 */
public final class Admission {
  /** Stands for every queue without a weight of its own in the settings. */
  private static final String ANY_QUEUE = "*";

  /**
   * Fraction of a queue's unused share that the others leave free for it, so that it is there at
   * once.
   */
  private static final double RESERVED_FRACTION = 0.5;

  private static final class QueueState {
    private final int weight;

    /** Current weight of the smooth weighted round robin. */
    private long currentWeight;

    private int openTries;
    private final CongestionWindow window = new CongestionWindow();

    QueueState(int weight) {
      this.weight = weight;
    }
  }

  private final Map<String, Integer> weights;
  private final int defaultWeight;
  private final Map<String, QueueState> queues = new HashMap<>();
  private int totalWeight;
  private int capacity = 1;
  private int openTries;

  /**
   * Creates an admission in which no try is open.
   *
   * @param weights of the queues that the settings name
   * @param defaultWeight of a queue that has no weight of its own
   */
  public Admission(Map<String, Integer> weights, int defaultWeight) {
    this.weights = Map.copyOf(weights);
    this.defaultWeight = defaultWeight;
    weights.keySet().stream().filter(name -> !name.equals(ANY_QUEUE)).forEach(this::queue);
  }

  /** Sets how many tries may be open in all; at least one may. */
  public void setCapacity(int tries) {
    capacity = Math.max(1, tries);
  }

  private QueueState queue(String name) {
    return queues.computeIfAbsent(
        name,
        newName -> {
          QueueState queue = new QueueState(weights.getOrDefault(newName, defaultWeight));
          totalWeight += queue.weight;
          return queue;
        });
  }

  private double share(QueueState queue) {
    return Math.max(1, capacity * (double) queue.weight / totalWeight);
  }

  private boolean mayOpen(QueueState queue) {
    if (openTries >= capacity || queue.openTries >= (int) queue.window.size()) {
      return false;
    }
    return queue.openTries < (int) share(queue)
        || capacity - openTries > reservedForOthersThan(queue);
  }

  private double reservedForOthersThan(QueueState queue) {
    double reserved = 0;
    for (QueueState other : queues.values()) {
      if (other != queue) {
        reserved += RESERVED_FRACTION * Math.max(0, share(other) - other.openTries);
      }
    }
    return reserved;
  }

  /**
   * Chooses the queue whose turn it is.
   *
   * @param ready the queues that hold jobs to be tried
   * @return its name, or null where no queue may start a try now
   */
  public String nextQueue(Iterable<String> ready, long now) {
    String chosen = null;
    long eligibleWeight = 0;
    for (String name : ready) {
      QueueState queue = queue(name);
      if (!queue.window.isPaused(now) && mayOpen(queue)) {
        queue.currentWeight += queue.weight;
        eligibleWeight += queue.weight;
        if (chosen == null || queue.currentWeight > queues.get(chosen).currentWeight) {
          chosen = name;
        }
      }
    }
    if (chosen != null) {
      queues.get(chosen).currentWeight -= eligibleWeight;
    }
    return chosen;
  }

  /** When the first pause of some queues ends; {@link Long#MAX_VALUE} where none is paused. */
  public long resumesAt(Iterable<String> ready, long now) {
    long first = Long.MAX_VALUE;
    for (String name : ready) {
      CongestionWindow window = queue(name).window;
      if (window.isPaused(now)) {
        first = Math.min(first, window.pausedUntil());
      }
    }
    return first;
  }

  /** Records that a try has started. */
  public void recordStart(String queueName) {
    openTries++;
    queue(queueName).openTries++;
  }

  private QueueState closed(String queueName) {
    openTries--;
    QueueState queue = queue(queueName);
    queue.openTries--;
    return queue;
  }

  /** Records that an open try was served. */
  public void recordServed(String queueName) {
    closed(queueName).window.onServed(capacity);
  }

  /** Records that an open try failed, which says nothing of the capacity. */
  public void recordFailed(String queueName) {
    closed(queueName);
  }

  /** Records that an open try was rejected. */
  public void recordRejected(String queueName, long now) {
    closed(queueName).window.onRejected(now);
  }

  /** How many tries a queue may hold open now. */
  double window(String queueName) {
    return queue(queueName).window.size();
  }
}
