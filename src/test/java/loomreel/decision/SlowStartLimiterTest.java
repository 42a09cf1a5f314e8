package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The sum of what many dispatchers send to one worker that warms up. */
class SlowStartLimiterTest {
  private static final long SECOND = 1_000_000;
  private static final double MEAN_WORK = 0.25 * SECOND;
  private static final double MAX_WORK = SlowStartLimiter.MAX_RELATIVE_WORK * MEAN_WORK;
  private static final double UNLIMITED = Double.POSITIVE_INFINITY;
  private static final double WARM_UP_SECONDS = 24;
  private static final long STEP = SECOND / 20;
  private static final int RUNS = 1000;

  /** The fraction of the limit that all dispatchers together are configured to use. */
  private static final double CONFIGURED_FRACTION = 0.8;

  /** One dispatcher in so many is restarted in the middle of the overload window. */
  private static final int RESTART_DIVISOR = 5;

  /**
   * Many dispatchers that always have a request to send.
   *
   * @param capacity how many mean jobs per second the worker does once it is warm
   * @param initialCapacity the fraction of its capacity that it starts with
   * @param windowSeconds the overload window
   * @param overloadMultiple the multiple of its capacity at which the worker fails
   * @param deviation the standard deviation of the work, which is lognormal, relative to its mean
   */
  private record Scenario(
      int dispatchers,
      double capacity,
      double initialCapacity,
      int windowSeconds,
      double overloadMultiple,
      double deviation) {
    long window() {
      return windowSeconds * SECOND;
    }

    /** The mean jobs per second that the worker does at an age, which grow linearly. */
    double capacityAt(long age) {
      return capacity
          * (initialCapacity + (1 - initialCapacity) * age / (WARM_UP_SECONDS * SECOND));
    }

    /** The work in mean jobs per second that one dispatcher may send, per unit of capacity. */
    double ratePerDispatcher() {
      return CONFIGURED_FRACTION * overloadMultiple * MEAN_WORK / SECOND / dispatchers;
    }

    /** The mean jobs in the overload window at which the worker fails. */
    double overload() {
      return overloadMultiple * windowSeconds * capacityAt(window() / 2);
    }

    double drawWork(SplittableRandom random) {
      double variance = Math.log(1 + deviation * deviation);
      double normal =
          Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
              * Math.cos(2 * Math.PI * random.nextDouble());
      return Math.exp(normal * Math.sqrt(variance) - variance / 2) * MEAN_WORK;
    }

    double drawLightWork(SplittableRandom random) {
      double work = drawWork(random);
      return work <= MAX_WORK ? work : drawLightWork(random);
    }

    double meanLightWork(int seed) {
      return new SplittableRandom(seed)
          .doubles(20_000)
          .map(seedFraction -> drawLightWork(new SplittableRandom((long) (seedFraction * 1e15))))
          .average()
          .orElseThrow();
    }

    /** The mean jobs that one process sends from a time on to the end of the overload window. */
    double jobsSent(SplittableRandom random, double rate, long from, double meanLightWork) {
      SlowStartLimiter limiter = new SlowStartLimiter();
      limiter.restart(random.nextDouble() * meanLightWork, from);
      double jobs = 0;
      double work = drawWork(random);
      for (long nowMicros = from; nowMicros < window(); nowMicros += STEP) {
        double refill = rate * capacityAt(nowMicros);
        if (limiter.allows(refill, meanLightWork, window(), work, MAX_WORK, nowMicros)) {
          limiter.consume(work);
          jobs += work / MEAN_WORK;
          work = drawWork(random);
        } else if (work > MAX_WORK) {
          // It is sent to a warm worker; the next one may be light.
          work = drawWork(random);
        }
      }
      return jobs;
    }

    /**
     * The mean jobs that all dispatchers send in the overload window. One in five is restarted in
     * the middle, with an allowance of its own, while its old process continues with half of the
     * rate.
     */
    double jobsSentByAll(SplittableRandom random, double meanLightWork) {
      double jobs = 0;
      for (int dispatcher = 0; dispatcher < dispatchers; dispatcher++) {
        double rate = ratePerDispatcher();
        boolean isRestarted = dispatcher % RESTART_DIVISOR == RESTART_DIVISOR - 1;
        jobs += jobsSent(random, isRestarted ? rate / 2 : rate, 0, meanLightWork);
        if (isRestarted) {
          jobs += jobsSent(random, rate / 2, window() / 2, meanLightWork);
        }
      }
      return jobs;
    }
  }

  @ParameterizedTest
  @CsvSource({
    "3, 16, 0.14, 3, 2.5, 0.7, 1",
    "20, 16, 0.14, 3, 2.5, 0.7, 2",
    "30, 16, 0.14, 3, 2.5, 0.7, 3",
    "100, 16, 0.14, 3, 2.5, 0.7, 4",
    "100, 40, 0.12, 2, 3, 0.7, 5",
    "3, 20, 0.14, 3, 2.5, 2, 6",
    "20, 16, 0.14, 3, 2.5, 2, 7",
    "30, 16, 0.36, 3, 2.5, 2, 8",
    "100, 16, 0.14, 3, 2.5, 2, 9",
    "200, 16, 0.36, 3, 2.5, 2, 10",
    "30, 4, 0.45, 2, 4, 2, 11",
    "100, 4, 0.45, 2, 4, 2, 12"
  })
  void allDispatchersTogetherUseMostOfTheLimitAndOverloadOneWorkerInAThousand(
      int dispatchers,
      double capacity,
      double initialCapacity,
      int windowSeconds,
      double overloadMultiple,
      double deviation,
      int seed) {
    Scenario scenario =
        new Scenario(
            dispatchers, capacity, initialCapacity, windowSeconds, overloadMultiple, deviation);
    double meanLightWork = scenario.meanLightWork(seed);
    double overload = scenario.overload();
    double overloadWithChance = overload + 2 * Math.sqrt(overload) + 2;

    int overloaded = 0;
    double used = 0;
    for (int run = 0; run < RUNS; run++) {
      SplittableRandom random = new SplittableRandom(1000L * seed + run);
      double jobs = scenario.jobsSentByAll(random, meanLightWork);
      overloaded += jobs > overloadWithChance ? 1 : 0;
      used += jobs / overload / RUNS;
    }

    assertTrue(overloaded <= RUNS / 1000, overloaded + " of " + RUNS + " were overloaded");
    assertTrue(used >= 0.7, "used " + used + " of the limit");
  }

  @Test
  void aHeavyRequestNeedsAFullAllowanceAndOverdrawsIt() {
    SlowStartLimiter limiter = new SlowStartLimiter();
    limiter.restart(0, 0);
    double rate = MEAN_WORK / SECOND;
    long window = 3 * SECOND;

    assertFalse(limiter.allows(rate, MEAN_WORK, window, 5 * MEAN_WORK, UNLIMITED, SECOND / 2));
    assertTrue(limiter.allows(rate, MEAN_WORK, window, 5 * MEAN_WORK, UNLIMITED, SECOND));
    limiter.consume(5 * MEAN_WORK);

    assertFalse(
        limiter.allows(rate, MEAN_WORK, window, MEAN_WORK / 10, UNLIMITED, 5 * SECOND),
        "four mean jobs are overdrawn, and one has to be saved up");
    assertTrue(limiter.allows(rate, MEAN_WORK, window, MEAN_WORK / 10, UNLIMITED, 6 * SECOND));
    assertTrue(limiter.allows(rate, MEAN_WORK, window, MEAN_WORK, UNLIMITED, 6 * SECOND));
  }

  /** Whatever is saved up: a few of them could overload the worker. */
  @Test
  void aRequestThatIsTooHeavyIsNeverAllowed() {
    SlowStartLimiter limiter = new SlowStartLimiter();
    limiter.restart(0, 0);
    double rate = MEAN_WORK / SECOND;
    long window = 3 * SECOND;
    long later = 100 * SECOND;

    assertFalse(limiter.allows(rate, MEAN_WORK, window, 2.1 * MEAN_WORK, 2 * MEAN_WORK, later));
    assertTrue(limiter.allows(rate, MEAN_WORK, window, 2 * MEAN_WORK, 2 * MEAN_WORK, later));
  }
}
