package loomreel.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The clock, the random number generator and the attempt counts that all dispatchers in one run of
 * random events share.
 */
final class RandomEvents {
  /** The minimum time between two events of a dispatcher, in microseconds. */
  static final long TICK_MICROS = 2000;

  final Random random;

  /** The current time, in microseconds. */
  long nowMicros = 50 * DispatcherHarness.SECOND;

  /** The number of attempts at all workers. */
  long attemptCount;

  /** The times, in microseconds, of the attempts at each worker since its last reset. */
  private final Map<String, List<Long>> attemptTimesMicrosByWorker = new HashMap<>();

  RandomEvents(long seed) {
    random = new Random(seed);
  }

  /** Records an attempt at a worker at the current time. */
  void recordAttempt(String worker) {
    attemptCount++;
    attemptTimesMicrosByWorker.computeIfAbsent(worker, absent -> new ArrayList<>()).add(nowMicros);
  }

  /** Discards the recorded times of the attempts at a worker, because its process restarted. */
  void resetAttempts(String worker) {
    attemptTimesMicrosByWorker.put(worker, new ArrayList<>());
  }

  /** Returns the number of attempts at a worker before a time and since its last reset. */
  long attemptsBefore(String worker, long timeMicros) {
    return attemptTimesMicrosByWorker.get(worker).stream()
        .filter(sentAtMicros -> sentAtMicros < timeMicros)
        .count();
  }

  /**
   * Returns a random load report. One in five contains only the utilization and the free slots; the
   * others contain everything but the utilization.
   */
  WorkerLoad loadReport() {
    return random.nextInt(5) == 0
        ? new WorkerLoad(Double.NaN, Double.NaN, 0.5, random.nextInt(5))
        : new WorkerLoad(random.nextInt(3), random.nextInt(6), Double.NaN, random.nextInt(4));
  }
}
