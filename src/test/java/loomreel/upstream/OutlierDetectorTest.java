package loomreel.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loomreel.upstream.OutlierDetector.Change;
import org.junit.jupiter.api.Test;

/**
 * Tests when {@link OutlierDetector} ejects a worker, and when probes of an ejected worker are due.
 */
class OutlierDetectorTest {
  private static final long MICROS_PER_MILLI = 1000;
  private final OutlierDetector detector = new OutlierDetector();

  @Test
  void onlyThreeConsecutiveFailuresEjectAWorker() {
    assertEquals(Change.NONE, detector.recordFailure(0));
    assertEquals(Change.NONE, detector.recordFailure(0));
    assertEquals(Change.NONE, detector.recordSuccess());
    assertEquals(Change.NONE, detector.recordFailure(0));
    assertEquals(Change.NONE, detector.recordFailure(0));
    assertEquals(Change.EJECTED, detector.recordFailure(0));
    assertEquals(Change.NONE, detector.recordFailure(0), "the worker is ejected already");
    assertTrue(detector.isEjected());
    assertEquals(Change.RECOVERED, detector.recordSuccess());
    assertFalse(detector.isEjected());
  }

  /**
   * Guards against calls that were in flight at the ejection and put off the probes of a worker.
   */
  @Test
  void failuresOfOtherCallsDoNotPostponeTheProbe() {
    for (int i = 0; i < 3; i++) {
      detector.recordFailure(0);
    }
    for (long now = 0; now < 500 * MICROS_PER_MILLI; now += 100 * MICROS_PER_MILLI) {
      assertEquals(Change.NONE, detector.recordFailure(now));
    }
    assertTrue(detector.startProbeIfDue(500 * MICROS_PER_MILLI));
  }

  @Test
  void probesOfAnEjectedWorkerBackOffAndDoNotOverlap() {
    for (int i = 0; i < 3; i++) {
      detector.recordFailure(0);
    }
    // The first probe is due 500 ms after the ejection.
    assertFalse(detector.startProbeIfDue(499 * MICROS_PER_MILLI));
    int probes = 0;
    for (long now = 500 * MICROS_PER_MILLI;
        now < 60_000 * MICROS_PER_MILLI;
        now += 100 * MICROS_PER_MILLI) {
      if (detector.startProbeIfDue(now)) {
        probes++;
        assertFalse(
            detector.startProbeIfDue(now + 50 * MICROS_PER_MILLI),
            "no other probe is due while a probe is in flight");
        detector.recordFailure(now + 60 * MICROS_PER_MILLI);
      }
    }
    // The delay before a probe doubles after each failed probe, up to 5 s.
    assertTrue(probes >= 10 && probes <= 16, probes + " probes in a minute");
  }
}
