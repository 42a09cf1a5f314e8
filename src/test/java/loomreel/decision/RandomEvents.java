package loomreel.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The clock, the source of random numbers and the counters of one run of random events. */
final class RandomEvents {
  /** The least time between two events of a dispatcher, in microseconds. */
  static final long TICK = 2000;

  final Random random;
  long nowMicros = 50 * DispatcherHarness.SECOND;
  long attemptCount;

  private final Map<String, List<Long>> attemptTimes = new HashMap<>();

  RandomEvents(long seed) {
    random = new Random(seed);
  }

  void recordAttempt(String worker) {
    attemptCount++;
    attemptTimes.computeIfAbsent(worker, absent -> new ArrayList<>()).add(nowMicros);
  }

  /** Forgets the attempts at a worker, whose process is new. */
  void resetAttempts(String worker) {
    attemptTimes.put(worker, new ArrayList<>());
  }

  /** How many attempts were sent to a worker before a time, since its last reset. */
  long attemptsBefore(String worker, long time) {
    return attemptTimes.get(worker).stream().filter(sentAt -> sentAt < time).count();
  }

  WorkerLoad loadReport() {
    return random.nextInt(5) == 0
        ? new WorkerLoad(Double.NaN, Double.NaN, 0.5, random.nextInt(5))
        : new WorkerLoad(random.nextInt(3), random.nextInt(6), Double.NaN, random.nextInt(4));
  }
}
