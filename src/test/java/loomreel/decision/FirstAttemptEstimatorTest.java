package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;
import org.junit.jupiter.api.Test;

/** A client with little time is either one that comes again or one that gives up early. */
class FirstAttemptEstimatorTest {
  private static final long SECOND = 1_000_000;
  private static final long NOW = 100 * SECOND;
  private static final RequestClass TYPE = DispatcherHarness.CLASSES.get(DispatcherHarness.READ);

  private static RequestArrived arrival(long left, boolean again) {
    return new RequestArrived(
        "r", null, 1, DispatcherHarness.READ, -1, NOW + left, again, Double.NaN);
  }

  @Test
  void theMarkSaysWhichItIsWhereClientsMark() {
    FirstAttemptEstimator clients = new FirstAttemptEstimator(true, 10e6);
    for (long left : new long[] {SECOND / 4, 6 * SECOND, TYPE.deadline()}) {
      assertEquals(NOW, clients.firstAttemptAt(arrival(left, false), TYPE, NOW));
      assertEquals(
          NOW + left - TYPE.deadline(), clients.firstAttemptAt(arrival(left, true), TYPE, NOW));
    }
  }

  @Test
  void withoutMarksOneWithMostOfItsTimeComesAgainAndOneWithLittleGivesUpEarly() {
    FirstAttemptEstimator clients = new FirstAttemptEstimator(false, 10e6);
    assertEquals(NOW, clients.firstAttemptAt(arrival(TYPE.deadline(), false), TYPE, NOW));
    assertEquals(
        NOW - 2 * SECOND,
        clients.firstAttemptAt(arrival(TYPE.deadline() - 2 * SECOND, false), TYPE, NOW));
    assertEquals(NOW, clients.firstAttemptAt(arrival(SECOND / 4, false), TYPE, NOW));
  }

  @Test
  void whereManyAreSentAwayThoseWithLittleTimeComeAgain() {
    FirstAttemptEstimator clients = new FirstAttemptEstimator(false, 10e6);
    for (int i = 0; i < 10; i++) {
      assertEquals(NOW, clients.firstAttemptAt(arrival(SECOND, false), TYPE, NOW));
    }
    for (int i = 0; i < 10; i++) {
      clients.recordRejection(RejectionReason.NO_CAPACITY_IN_TIME, NOW);
      clients.recordRejection(RejectionReason.ARRIVED_TOO_LATE, NOW);
    }
    assertEquals(
        NOW + SECOND - TYPE.deadline(), clients.firstAttemptAt(arrival(SECOND, false), TYPE, NOW));
  }

  /**
   * The whole way: a client that waits for a quarter of a second of ten is served, not told that it
   * came too late.
   */
  @Test
  void aClientThatGivesUpEarlyIsServed() {
    DispatcherHarness f = new DispatcherHarness();
    f.on(new Event.EndpointSnapshot(DispatcherHarness.workers(4)));
    assertEquals(
        1,
        DispatcherHarness.sends(
                f.on(
                    new RequestArrived(
                        "a",
                        "key",
                        1,
                        DispatcherHarness.READ,
                        -1,
                        f.now + SECOND / 4,
                        false,
                        Double.NaN)))
            .size());
  }
}
