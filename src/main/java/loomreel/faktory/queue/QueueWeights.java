package loomreel.faktory.queue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The weights by which queues divide the capacity. */
public final class QueueWeights {
  /** Stands for every queue without a weight of its own. */
  private static final String ANY_QUEUE = "*";

  private static final int DEFAULT_WEIGHT = 1;

  private final Map<String, Integer> weights;
  private final int defaultWeight;

  /**
   * Creates weights.
   *
   * @param weights by queue; the one of {@code *} is that of every queue without a weight, else 1
   */
  public QueueWeights(Map<String, Integer> weights) {
    this.weights = new LinkedHashMap<>(weights);
    defaultWeight = weights.getOrDefault(ANY_QUEUE, DEFAULT_WEIGHT);
  }

  /** Whether a queue has a weight of its own. */
  boolean isNamed(String queue) {
    return weights.containsKey(queue);
  }

  /** The weight of a queue. */
  int of(String queue) {
    return weights.getOrDefault(queue, defaultWeight);
  }

  /** Calls a consumer with each queue that has a weight of its own. */
  void forEachNamedQueue(Consumer<String> consumer) {
    weights.keySet().stream().filter(name -> !name.equals(ANY_QUEUE)).forEach(consumer);
  }
}
