package loomreel.faktory.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Delays before the next attempt of a job. */
class RetryBackoffTest {
  private static final long SECOND = 1_000_000;
  private static final long BASE = 15 * SECOND;
  private final RetryBackoff backoff = new RetryBackoff(BASE, new SplittableRandom(1));

  @ParameterizedTest
  @CsvSource({
    "0, 100_000",
    "1, 200_000",
    "4, 1_600_000",
    "7, 12_800_000",
    "8, 15_000_000",
    "99, 15_000_000"
  })
  void rejectionsDoubleTheDelayUpToTheBase(int earlier, String nominalText) {
    long nominal = Long.parseLong(nominalText.replace("_", ""));
    for (int i = 0; i < 1000; i++) {
      long delay = backoff.afterRejection(earlier);

      assertTrue(delay >= nominal / 2 && delay <= nominal + nominal / 2, "delay " + delay);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 5, 20})
  void failuresFollowFaktorysFormula(int earlier) {
    double least = Math.pow(earlier, 4) + 15;
    for (int i = 0; i < 1000; i++) {
      double seconds = (double) backoff.afterFailure(earlier) / SECOND;

      assertTrue(seconds >= least - 1e-6 && seconds <= least + 30 * (earlier + 1), "" + seconds);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 1_000, SECOND})
  void failuresScaleWithTheBase(long base) {
    SplittableRandom expected = new SplittableRandom(7);
    RetryBackoff scaled = new RetryBackoff(base, new SplittableRandom(7));

    double seconds = 81 + 15 + expected.nextDouble() * 30 * 4;

    assertEquals((long) (base * seconds / 15), scaled.afterFailure(3));
  }
}
