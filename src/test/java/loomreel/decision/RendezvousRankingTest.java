package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class RendezvousRankingTest {
  private static final int KEY_COUNT = 2000;

  private static WorkerState worker(String id, double weight) {
    WorkerState worker = new WorkerState(id, 1e6);
    worker.update(new Endpoint(id, "north", "small", 0, Endpoint.State.READY, 0, weight));
    return worker;
  }

  private static WorkerState[] workers(int count) {
    WorkerState[] workers = new WorkerState[count];
    for (int i = 0; i < count; i++) {
      workers[i] = worker("w" + i, 1);
    }
    return workers;
  }

  private final RendezvousRanking ranking = new RendezvousRanking(false);

  @Test
  void theRankingDoesNotDependOnTheOrderOfTheWorkers() {
    WorkerState[] workers = workers(9);
    WorkerState[] reversed = workers.clone();
    Collections.reverse(Arrays.asList(reversed));

    assertArrayEquals(ranking.first(5, 42, workers), ranking.first(5, 42, reversed));
    assertEquals(ranking.second(42, workers), ranking.second(42, reversed));
  }

  @Test
  void aRemovedWorkerMovesOnlyItsOwnKeys() {
    WorkerState[] before = workers(10);
    WorkerState[] after = Arrays.copyOf(before, 9);

    for (int key = 0; key < KEY_COUNT; key++) {
      WorkerState first = ranking.first(1, Hashing.mix(key), before)[0];
      if (first != before[9]) {
        assertEquals(first, ranking.first(1, Hashing.mix(key), after)[0]);
      }
    }
  }

  @Test
  void aWeightScalesAWorkersFractionOfTheKeys() {
    WorkerState[] workers = {worker("light", 1), worker("heavy", 3)};
    RendezvousRanking weighted = new RendezvousRanking(true);

    long keysOfHeavyWorker = 0;
    for (int key = 0; key < KEY_COUNT; key++) {
      keysOfHeavyWorker += weighted.first(1, Hashing.mix(key), workers)[0] == workers[1] ? 1 : 0;
    }

    assertTrue(
        keysOfHeavyWorker > 0.7 * KEY_COUNT && keysOfHeavyWorker < 0.8 * KEY_COUNT,
        keysOfHeavyWorker + " of " + KEY_COUNT);
  }

  @Test
  void withoutWorkersTheRankingIsEmptyAndTheSecondChoiceIsNull() {
    assertNull(ranking.second(42, new WorkerState[0]));
    assertEquals(List.of(), List.of(ranking.first(3, 42, new WorkerState[0])));
  }
}
