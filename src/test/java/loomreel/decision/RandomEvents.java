package loomreel.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The state that all dispatchers in one run of {@link RandomEventsTest} share: the clock, the
 * random number generator and the records of attempts.
 */
final class RandomEvents {
  /**
   * The time, in microseconds, by which the clock advances in each step of the run. A dispatcher
   * may get several events in the same step.
   */
  static final long TICK_MICROS = 2000;

  final Random random;

  /** The current time, in microseconds. */
  long nowMicros = 50 * DispatcherHarness.SECOND;

  /** The number of attempts at all workers since the run began. */
  long attemptCount;

  /**
   * The times, in microseconds, of the attempts at each worker since the last call of {@link
   * #resetAttempts} for the worker.
   */
  private final Map<String, List<Long>> attemptTimesMicrosByWorker = new HashMap<>();

  RandomEvents(long seed) {
    random = new Random(seed);
  }

  /** Records an attempt at a worker at the current time. */
  void recordAttempt(String worker) {
    attemptCount++;
    attemptTimesMicrosByWorker.computeIfAbsent(worker, absent -> new ArrayList<>()).add(nowMicros);
  }

  /**
   * Discards the recorded times of the attempts at a worker. A test calls this method when the
   * process of the worker restarts.
   */
  void resetAttempts(String worker) {
    attemptTimesMicrosByWorker.put(worker, new ArrayList<>());
  }

  /**
   * Returns the number of attempts at a worker that were recorded with a time before {@code
   * timeMicros} and after the last call of {@link #resetAttempts} for the worker.
   */
  long attemptsBefore(String worker, long timeMicros) {
    return attemptTimesMicrosByWorker.get(worker).stream()
        .filter(sentAtMicros -> sentAtMicros < timeMicros)
        .count();
  }

  /**
   * Returns a random load report. On average, one report in five contains only the utilization and
   * the number of free slots. The other reports contain all values except the utilization.
   */
  WorkerLoad drawLoadReport() {
    return random.nextInt(5) == 0
        ? new WorkerLoad(Double.NaN, Double.NaN, 0.5, random.nextInt(5))
        : new WorkerLoad(random.nextInt(3), random.nextInt(6), Double.NaN, random.nextInt(4));
  }
}
