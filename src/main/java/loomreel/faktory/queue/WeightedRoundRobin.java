package loomreel.faktory.queue;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Chooses the queue whose turn it is, by smooth weighted round robin. */
public final class WeightedRoundRobin {
  private static final class Turn {
    private final int weight;
    private long currentWeight;

    Turn(int weight) {
      this.weight = weight;
    }
  }

  /** Queues without jobs whose turns are retained at least. */
  private static final int MIN_RETAINED = 100;

  private final QueueWeights weights;
  private final Map<String, Turn> turns = new HashMap<>();

  /** Creates a round robin in which no queue has had a turn. */
  public WeightedRoundRobin(QueueWeights weights) {
    this.weights = weights;
  }

  /**
   * Chooses a queue, and raises the current weight of the other eligible ones.
   *
   * @param queues of two with equal current weights, the first in this order is chosen
   * @param isEligible called once for each of them, in their order
   * @return empty where none is eligible
   */
  public Optional<String> next(Collection<String> queues, Predicate<String> isEligible) {
    if (turns.size() > 2 * (queues.size() + MIN_RETAINED)) {
      turns.keySet().retainAll(queues);
    }
    String chosen = null;
    long eligibleWeight = 0;
    for (String queue : queues) {
      if (isEligible.test(queue)) {
        Turn turn = turns.computeIfAbsent(queue, name -> new Turn(weights.of(name)));
        turn.currentWeight += turn.weight;
        eligibleWeight += turn.weight;
        if (chosen == null || turn.currentWeight > turns.get(chosen).currentWeight) {
          chosen = queue;
        }
      }
    }
    if (chosen != null) {
      turns.get(chosen).currentWeight -= eligibleWeight;
    }
    return Optional.ofNullable(chosen);
  }
}
