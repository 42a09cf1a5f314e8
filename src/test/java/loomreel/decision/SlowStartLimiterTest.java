package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests how much work {@link SlowStartLimiter} allows many dispatchers together to send to one
 * worker that warms up. Each process of a dispatcher has its own limiter. The limiter holds an
 * allowance, which is the work that the process may send to the worker now. The allowance grows at
 * the refill rate and shrinks by the work of each request that is sent. Work is in slots times
 * microseconds. Relative work is work divided by {@link #MEAN_WORK_MICROS}.
 */
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

  /** The time, in seconds, in which the capacity of a worker grows to its full value. */
  private static final double WARM_UP_SECONDS = 24;

  /** The time, in microseconds, after which a simulated process tries again to send a request. */
  private static final long STEP_MICROS = SECOND / 20;

  /** The number of simulated slow starts in each scenario. */
  private static final int RUN_COUNT = 1000;

  /**
   * The sum of the refill rates of all dispatchers, divided by a limit rate. The limit rate is the
   * overload multiple times the current capacity of the worker. If dispatchers are restarted, the
   * sum is lower before the restarts; see {@link Scenario#simulateAllDispatchers}.
   */
  private static final double REFILL_FRACTION = 0.8;

  /**
   * Selects the dispatchers that are restarted in the middle of the overload window: those whose
   * number, counted from 1, is a multiple of this value.
   */
  private static final int RESTART_DIVISOR = 5;

  /**
   * A cold worker and the dispatchers that send requests to it. Each dispatcher has a request to
   * send at any time. The overload window begins when the worker starts. The overload limit is the
   * overload multiple times the work that the worker can do within the overload window.
   *
   * @param dispatcherCount the number of dispatchers
   * @param relativeCapacity the relative work per second that the worker can do when it is warm
   * @param initialCapacityFraction the fraction of its capacity that the worker has when it starts
   * @param windowSeconds the length of the overload window, in seconds
   * @param overloadMultiple the overload limit divided by the work that the worker can do within
   *     the overload window
   * @param relativeDeviation the standard deviation of the work of a request, divided by the mean;
   *     the work is distributed lognormally
   */
  private record Scenario(
      int dispatcherCount,
      double relativeCapacity,
      double initialCapacityFraction,
      int windowSeconds,
      double overloadMultiple,
      double relativeDeviation) {
    long windowMicros() {
      return windowSeconds * SECOND;
    }

    /**
     * Returns the relative work per second that the worker can do at an age, in microseconds. The
     * capacity grows linearly with the age.
     */
    double relativeCapacityAt(long ageMicros) {
      return relativeCapacity
          * (initialCapacityFraction
              + (1 - initialCapacityFraction) * ageMicros / (WARM_UP_SECONDS * SECOND));
    }

    /**
     * Returns the refill rate of one dispatcher, in work per microsecond, divided by {@link
     * #relativeCapacityAt}. The quotient is the same at every age of the worker.
     */
    double refillFactorPerDispatcher() {
      return REFILL_FRACTION * overloadMultiple * MEAN_WORK_MICROS / SECOND / dispatcherCount;
    }

    /**
     * Returns the overload limit, in relative work. The capacity grows linearly, so its mean over
     * the overload window is the capacity in the middle of the window.
     */
    double relativeLimit() {
      return overloadMultiple * windowSeconds * relativeCapacityAt(windowMicros() / 2);
    }

    /** Returns the work of a random request, in slots times microseconds. */
    double drawWork(SplittableRandom random) {
      double logVariance = Math.log(1 + relativeDeviation * relativeDeviation);
      double standardNormal =
          Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
              * Math.cos(2 * Math.PI * random.nextDouble());
      return Math.exp(standardNormal * Math.sqrt(logVariance) - logVariance / 2) * MEAN_WORK_MICROS;
    }

    /** Returns the work of a random request whose work is at most {@link #MAX_WORK_MICROS}. */
    double drawLightWork(SplittableRandom random) {
      double workMicros = drawWork(random);
      return workMicros <= MAX_WORK_MICROS ? workMicros : drawLightWork(random);
    }

    /** Returns the mean result of 20,000 calls of {@link #drawLightWork}. */
    double meanLightWork(int seed) {
      return new SplittableRandom(seed)
          .doubles(20_000)
          .map(seedFraction -> drawLightWork(new SplittableRandom((long) (seedFraction * 1e15))))
          .average()
          .orElseThrow();
    }

    /**
     * Simulates one process of a dispatcher from its start until the end of the overload window. A
     * dispatcher has a single process, unless it is restarted; see {@link #simulateAllDispatchers}.
     *
     * @param refillFactor the refill rate of the process, in work per microsecond, divided by
     *     {@link #relativeCapacityAt}
     * @param startAgeMicros the age of the worker when the process starts, in microseconds; the
     *     simulation uses the age as its clock
     * @param meanLightWork the mean work of the requests that may go to the worker
     * @return the relative work that the process sends to the worker
     */
    double simulateProcess(
        SplittableRandom random, double refillFactor, long startAgeMicros, double meanLightWork) {
      SlowStartLimiter limiter = new SlowStartLimiter();
      limiter.restart(random.nextDouble() * meanLightWork, startAgeMicros);
      double relativeWork = 0;
      double workMicros = drawWork(random);
      for (long nowMicros = startAgeMicros; nowMicros < windowMicros(); nowMicros += STEP_MICROS) {
        double refillRate = refillFactor * relativeCapacityAt(nowMicros);
        if (limiter.allows(
            refillRate, meanLightWork, windowMicros(), workMicros, MAX_WORK_MICROS, nowMicros)) {
          limiter.consume(workMicros);
          relativeWork += workMicros / MEAN_WORK_MICROS;
          workMicros = drawWork(random);
        } else if (workMicros > MAX_WORK_MICROS) {
          // The request is too heavy for the cold worker, so the dispatcher sends it to a warm
          // worker and continues with the next request.
          workMicros = drawWork(random);
        }
      }
      return relativeWork;
    }

    /**
     * Simulates all dispatchers over the overload window and returns the relative work that they
     * send to the worker.
     *
     * <p>A dispatcher that is restarted is simulated as two processes. The first runs for the whole
     * window. The second starts in the middle of the window with an allowance of its own. Each
     * process has half of the refill rate of a dispatcher that is not restarted, for its whole run.
     * {@link #RESTART_DIVISOR} selects the dispatchers that are restarted.
     */
    double simulateAllDispatchers(SplittableRandom random, double meanLightWork) {
      double relativeWork = 0;
      for (int dispatcher = 0; dispatcher < dispatcherCount; dispatcher++) {
        double refillFactor = refillFactorPerDispatcher();
        boolean isRestarted = dispatcher % RESTART_DIVISOR == RESTART_DIVISOR - 1;
        relativeWork +=
            simulateProcess(
                random, isRestarted ? refillFactor / 2 : refillFactor, 0, meanLightWork);
        if (isRestarted) {
          relativeWork +=
              simulateProcess(random, refillFactor / 2, windowMicros() / 2, meanLightWork);
        }
      }
      return relativeWork;
    }
  }

  /**
   * Verifies that the dispatchers together send at least 0.7 of the overload limit on average, and
   * overload the worker in at most one of 1000 runs. Let {@code N} be the overload limit, in
   * relative work. The worker counts as overloaded if the relative work that it gets exceeds {@code
   * N + 2 sqrt(N) + 2}. A smaller excess over the overload limit counts as chance; see {@link
   * SlowStartLimiter}.
   */
  @ParameterizedTest
  @CsvSource({
    // dispatcherCount, relativeCapacity, initialCapacityFraction, windowSeconds, overloadMultiple,
    // relativeDeviation, seed
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
  void allDispatchersTogetherUseMostOfTheLimitAndOverloadTheWorkerInAtMostOneRunInAThousand(
      int dispatcherCount,
      double relativeCapacity,
      double initialCapacityFraction,
      int windowSeconds,
      double overloadMultiple,
      double relativeDeviation,
      int seed) {
    Scenario scenario =
        new Scenario(
            dispatcherCount,
            relativeCapacity,
            initialCapacityFraction,
            windowSeconds,
            overloadMultiple,
            relativeDeviation);
    double meanLightWork = scenario.meanLightWork(seed);
    double relativeLimit = scenario.relativeLimit();
    double relativeLimitWithChance = relativeLimit + 2 * Math.sqrt(relativeLimit) + 2;

    int overloadedRuns = 0;
    double usedFraction = 0;
    for (int run = 0; run < RUN_COUNT; run++) {
      SplittableRandom random = new SplittableRandom(1000L * seed + run);
      double relativeWork = scenario.simulateAllDispatchers(random, meanLightWork);
      overloadedRuns += relativeWork > relativeLimitWithChance ? 1 : 0;
      usedFraction += relativeWork / relativeLimit / RUN_COUNT;
    }

    assertTrue(
        overloadedRuns <= RUN_COUNT / 1000,
        overloadedRuns + " of " + RUN_COUNT + " runs overloaded the worker");
    assertTrue(usedFraction >= 0.7, "used " + usedFraction + " of the limit");
  }

  /**
   * Returns whether a request may be sent to a worker whose allowance refills by the mean work per
   * second.
   *
   * @param work the work of the request, in microseconds
   * @param maxWork the maximum work of a request, in microseconds
   */
  private static boolean isAllowed(
      SlowStartLimiter limiter, double work, double maxWork, long nowMicros) {
    double refillRate = MEAN_WORK_MICROS / SECOND;
    return limiter.allows(refillRate, MEAN_WORK_MICROS, 3 * SECOND, work, maxWork, nowMicros);
  }

  /**
   * Verifies that a request with more work than the allowance can hold is allowed only when the
   * allowance is full, and that the allowance is negative afterwards. In this test, the full
   * allowance is the mean work, and the allowance refills by the mean work per second.
   */
  @Test
  void aHeavyRequestNeedsAFullAllowanceAndOverdrawsIt() {
    SlowStartLimiter limiter = new SlowStartLimiter();
    limiter.restart(0, 0);

    assertFalse(isAllowed(limiter, 5 * MEAN_WORK_MICROS, UNLIMITED_WORK, SECOND / 2));
    assertTrue(isAllowed(limiter, 5 * MEAN_WORK_MICROS, UNLIMITED_WORK, SECOND));
    limiter.consume(5 * MEAN_WORK_MICROS);

    assertFalse(
        isAllowed(limiter, MEAN_WORK_MICROS / 10, UNLIMITED_WORK, 5 * SECOND),
        "the overdrawn allowance has refilled to 0, and a light request needs the mean work");
    assertTrue(isAllowed(limiter, MEAN_WORK_MICROS / 10, UNLIMITED_WORK, 6 * SECOND));
    assertTrue(isAllowed(limiter, MEAN_WORK_MICROS, UNLIMITED_WORK, 6 * SECOND));
  }

  /**
   * Verifies that a request whose work exceeds the maximum is not allowed even if the allowance is
   * full. A few requests of more than the maximum work could overload the worker.
   */
  @Test
  void aRequestAboveTheMaximumWorkIsNeverAllowed() {
    SlowStartLimiter limiter = new SlowStartLimiter();
    limiter.restart(0, 0);
    long laterMicros = 100 * SECOND;

    assertFalse(isAllowed(limiter, 2.1 * MEAN_WORK_MICROS, 2 * MEAN_WORK_MICROS, laterMicros));
    assertTrue(isAllowed(limiter, 2 * MEAN_WORK_MICROS, 2 * MEAN_WORK_MICROS, laterMicros));
  }
}
