package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how much work many dispatchers together send to one worker that warms up. */
class SlowStartLimiterTest {
  private static final long SECOND = 1_000_000;

  /** The mean work of a request, in slots times microseconds. */
  private static final double MEAN_WORK_MICROS = 0.25 * SECOND;

  /**
   * The work of the heaviest request that may go to a warming worker, in slots times microseconds.
   */
  private static final double MAX_WORK_MICROS =
      SlowStartLimiter.MAX_RELATIVE_WORK * MEAN_WORK_MICROS;

  private static final double UNLIMITED_WORK = Double.POSITIVE_INFINITY;
  private static final double WARM_UP_SECONDS = 24;

  /**
   * The time, in microseconds, between two attempts of a simulated dispatcher to send a request.
   */
  private static final long STEP_MICROS = SECOND / 20;

  /** The number of simulated slow starts in each scenario. */
  private static final int RUN_COUNT = 1000;

  /** The fraction of the overload limit that the allowances of all dispatchers add up to. */
  private static final double CONFIGURED_FRACTION = 0.8;

  /** One dispatcher in this many is restarted in the middle of the overload window. */
  private static final int RESTART_DIVISOR = 5;

  /**
   * One cold worker and many dispatchers that always have a request to send.
   *
   * @param dispatchers the number of dispatchers
   * @param capacity the mean jobs per second that the worker completes when it is warm
   * @param initialCapacity the fraction of its capacity that the worker has when it starts
   * @param windowSeconds the length of the overload window, in seconds
   * @param overloadMultiple the multiple of its capacity at which the worker fails
   * @param relativeDeviation the standard deviation of the work relative to its mean; the work is
   *     distributed lognormally
   */
  private record Scenario(
      int dispatchers,
      double capacity,
      double initialCapacity,
      int windowSeconds,
      double overloadMultiple,
      double relativeDeviation) {
    long windowMicros() {
      return windowSeconds * SECOND;
    }

    /** Returns the mean jobs per second that the worker completes at an age; they grow linearly. */
    double capacityAt(long ageMicros) {
      return capacity
          * (initialCapacity + (1 - initialCapacity) * ageMicros / (WARM_UP_SECONDS * SECOND));
    }

    /**
     * Returns the rate at which the allowance of one dispatcher refills, in work per microsecond,
     * for each mean job per second of the worker's capacity.
     */
    double ratePerDispatcher() {
      return CONFIGURED_FRACTION * overloadMultiple * MEAN_WORK_MICROS / SECOND / dispatchers;
    }

    /** Returns the number of mean jobs within the overload window at which the worker fails. */
    double overloadJobs() {
      return overloadMultiple * windowSeconds * capacityAt(windowMicros() / 2);
    }

    /** Returns the work of a random request. */
    double drawWork(SplittableRandom random) {
      double logVariance = Math.log(1 + relativeDeviation * relativeDeviation);
      double standardNormal =
          Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
              * Math.cos(2 * Math.PI * random.nextDouble());
      return Math.exp(standardNormal * Math.sqrt(logVariance) - logVariance / 2) * MEAN_WORK_MICROS;
    }

    /** Returns the work of a random request that is light enough for a warming worker. */
    double drawLightWork(SplittableRandom random) {
      double workMicros = drawWork(random);
      return workMicros <= MAX_WORK_MICROS ? workMicros : drawLightWork(random);
    }

    /** Returns the mean of {@link #drawLightWork} over 20,000 requests. */
    double meanLightWork(int seed) {
      return new SplittableRandom(seed)
          .doubles(20_000)
          .map(seedFraction -> drawLightWork(new SplittableRandom((long) (seedFraction * 1e15))))
          .average()
          .orElseThrow();
    }

    /**
     * Simulates one process of a dispatcher until the end of the overload window and returns the
     * work that it sends, in mean jobs.
     *
     * @param rate the rate at which its allowance refills, in work per microsecond, for each mean
     *     job per second of the worker's capacity
     * @param fromMicros the age of the worker at which the process starts, in microseconds
     */
    double jobsSent(SplittableRandom random, double rate, long fromMicros, double meanLightWork) {
      SlowStartLimiter limiter = new SlowStartLimiter();
      limiter.restart(random.nextDouble() * meanLightWork, fromMicros);
      double jobs = 0;
      double workMicros = drawWork(random);
      for (long nowMicros = fromMicros; nowMicros < windowMicros(); nowMicros += STEP_MICROS) {
        double refillRate = rate * capacityAt(nowMicros);
        if (limiter.allows(
            refillRate, meanLightWork, windowMicros(), workMicros, MAX_WORK_MICROS, nowMicros)) {
          limiter.consume(workMicros);
          jobs += workMicros / MEAN_WORK_MICROS;
          workMicros = drawWork(random);
        } else if (workMicros > MAX_WORK_MICROS) {
          // A heavy request is sent to a warm worker instead. The next request may be light.
          workMicros = drawWork(random);
        }
      }
      return jobs;
    }

    /**
     * Simulates all dispatchers over the overload window and returns the work that they send, in
     * mean jobs. One dispatcher in five is restarted in the middle of the window: a new process
     * with an allowance of its own starts, and each of its two processes uses half of the rate.
     */
    double jobsSentByAll(SplittableRandom random, double meanLightWork) {
      double jobs = 0;
      for (int dispatcher = 0; dispatcher < dispatchers; dispatcher++) {
        double rate = ratePerDispatcher();
        boolean isRestarted = dispatcher % RESTART_DIVISOR == RESTART_DIVISOR - 1;
        jobs += jobsSent(random, isRestarted ? rate / 2 : rate, 0, meanLightWork);
        if (isRestarted) {
          jobs += jobsSent(random, rate / 2, windowMicros() / 2, meanLightWork);
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
  void allDispatchersTogetherUseMostOfTheLimitAndOverloadAtMostOneWorkerInAThousand(
      int dispatchers,
      double capacity,
      double initialCapacity,
      int windowSeconds,
      double overloadMultiple,
      double relativeDeviation,
      int seed) {
    Scenario scenario =
        new Scenario(
            dispatchers,
            capacity,
            initialCapacity,
            windowSeconds,
            overloadMultiple,
            relativeDeviation);
    double meanLightWork = scenario.meanLightWork(seed);
    double overloadJobs = scenario.overloadJobs();
    double overloadJobsWithChance = overloadJobs + 2 * Math.sqrt(overloadJobs) + 2;

    int overloadedRuns = 0;
    double usedFraction = 0;
    for (int run = 0; run < RUN_COUNT; run++) {
      SplittableRandom random = new SplittableRandom(1000L * seed + run);
      double jobs = scenario.jobsSentByAll(random, meanLightWork);
      overloadedRuns += jobs > overloadJobsWithChance ? 1 : 0;
      usedFraction += jobs / overloadJobs / RUN_COUNT;
    }

    assertTrue(
        overloadedRuns <= RUN_COUNT / 1000,
        overloadedRuns + " of " + RUN_COUNT + " were overloaded");
    assertTrue(usedFraction >= 0.7, "used " + usedFraction + " of the limit");
  }

  @Test
  void aHeavyRequestNeedsAFullAllowanceAndOverdrawsIt() {
    SlowStartLimiter limiter = new SlowStartLimiter();
    limiter.restart(0, 0);
    double rate = MEAN_WORK_MICROS / SECOND;
    long windowMicros = 3 * SECOND;

    assertFalse(
        limiter.allows(
            rate,
            MEAN_WORK_MICROS,
            windowMicros,
            5 * MEAN_WORK_MICROS,
            UNLIMITED_WORK,
            SECOND / 2));
    assertTrue(
        limiter.allows(
            rate, MEAN_WORK_MICROS, windowMicros, 5 * MEAN_WORK_MICROS, UNLIMITED_WORK, SECOND));
    limiter.consume(5 * MEAN_WORK_MICROS);

    assertFalse(
        limiter.allows(
            rate,
            MEAN_WORK_MICROS,
            windowMicros,
            MEAN_WORK_MICROS / 10,
            UNLIMITED_WORK,
            5 * SECOND),
        "the allowance is overdrawn by four mean jobs, and a request needs one mean job");
    assertTrue(
        limiter.allows(
            rate,
            MEAN_WORK_MICROS,
            windowMicros,
            MEAN_WORK_MICROS / 10,
            UNLIMITED_WORK,
            6 * SECOND));
    assertTrue(
        limiter.allows(
            rate, MEAN_WORK_MICROS, windowMicros, MEAN_WORK_MICROS, UNLIMITED_WORK, 6 * SECOND));
  }

  /**
   * Verifies that a request above the maximum work is not allowed, however large the allowance is.
   * A few such requests could overload the worker.
   */
  @Test
  void aRequestAboveTheMaximumWorkIsNeverAllowed() {
    SlowStartLimiter limiter = new SlowStartLimiter();
    limiter.restart(0, 0);
    double rate = MEAN_WORK_MICROS / SECOND;
    long windowMicros = 3 * SECOND;
    long laterMicros = 100 * SECOND;

    assertFalse(
        limiter.allows(
            rate,
            MEAN_WORK_MICROS,
            windowMicros,
            2.1 * MEAN_WORK_MICROS,
            2 * MEAN_WORK_MICROS,
            laterMicros));
    assertTrue(
        limiter.allows(
            rate,
            MEAN_WORK_MICROS,
            windowMicros,
            2 * MEAN_WORK_MICROS,
            2 * MEAN_WORK_MICROS,
            laterMicros));
  }
}
