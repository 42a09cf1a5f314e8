package loomreel.faktory.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How many jobs a worker takes at a time. */
class SlotEstimatorTest {
  /** A client library's process: so many threads, each of which fetches, runs and fetches again. */
  @Test
  void slotsAreTheMostFetchesAndJobsAtOnceOfLate() {
    SlotEstimator estimator = new SlotEstimator(0, 1, 50);
    assertEquals(1, estimator.slots(0, 0));
    estimator.addWaitingFetches(10);
    assertEquals(10, estimator.slots(0, 1));
    estimator.addWaitingFetches(-4);
    assertEquals(10, estimator.slots(4, 2), "four of them run");
    estimator.addWaitingFetches(-6);
    assertEquals(10, estimator.slots(4, 40), "between two FETCHes it is no smaller");
    assertEquals(10, estimator.slots(4, 60));
    assertEquals(4, estimator.slots(4, 120), "it has taken four at a time for long");
    assertEquals(1, estimator.slots(0, 500));
  }

  @Test
  void labelsStandAboveWhatIsSeen() {
    SlotEstimator estimator = new SlotEstimator(7, 1, 50);
    estimator.addWaitingFetches(10);

    assertEquals(7, estimator.slots(20, 50));
  }
}
