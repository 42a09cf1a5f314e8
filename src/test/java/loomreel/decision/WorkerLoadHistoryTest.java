package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WorkerLoadHistoryTest {
  private static final double TOLERANCE = 1e-9;
  private static final long NOW_MICROS = 100_000_000;

  private final WorkerLoadHistory history = new WorkerLoadHistory();

  @Test
  void theFirstSamplesCountEqually() {
    history.reset();
    history.startFrom(0.4, NOW_MICROS);

    history.addSample(2.0, NOW_MICROS);
    history.addSample(0.6, NOW_MICROS);

    assertEquals((0.4 + 2.0 + 0.6) / 3, history.meanLoad(), TOLERANCE);
    assertEquals(0.6, history.lastLoad());
  }

  @Test
  void aSampleLongAfterThePreviousOneReplacesTheMean() {
    history.reset();
    history.startFrom(0.4, NOW_MICROS);

    history.addSample(2.0, NOW_MICROS + 1_000_000_000L);

    assertEquals(2.0, history.meanLoad(), TOLERANCE);
  }

  @Test
  void onlyAHistoryWithoutSamplesStartsFromTheMeanOfAllWorkers() {
    history.reset();
    history.startFrom(0.4, NOW_MICROS);

    history.startFrom(0.9, NOW_MICROS + 1);

    assertEquals(0.4, history.meanLoad());
    assertEquals(NOW_MICROS, history.sampledAt());
  }

  @Test
  void aResetDiscardsTheTimeOfTheLastSampleAndKeepsTheSlots() {
    history.learnSlots(4);
    history.addSample(0.5, NOW_MICROS);

    history.reset();

    assertEquals(Timestamp.NEVER, history.sampledAt());
    assertEquals(4, history.slots());
  }

  @Test
  void slotsAreUnknownBeforeTheFirstReport() {
    assertFalse(history.hasSlots());

    history.learnMinimumSlots(0);

    assertTrue(history.hasSlots());
    assertEquals(1, history.slots());
  }

  @Test
  void laterReportsChangeTheSlotsByAFifthOfTheDifference() {
    history.learnSlots(4);

    history.learnSlots(9);

    assertEquals(5, history.slots(), TOLERANCE);
  }
}
