package loomreel.standin;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts how often jobs have been executed, by serial number. A job counts from the moment at which
 * it starts, also if its worker dies meanwhile. Safe for several threads.
 */
public final class ExecutionLog {
  private final Map<String, AtomicInteger> executionsBySerial = new ConcurrentHashMap<>();

  /** Counts the start of a job. */
  public void recordStart(String serial) {
    executionsBySerial.computeIfAbsent(serial, s -> new AtomicInteger()).incrementAndGet();
  }

  /** How often a job was started. */
  public int executions(String serial) {
    AtomicInteger count = executionsBySerial.get(serial);
    return count == null ? 0 : count.get();
  }

  /** The jobs that were started more than once, of those whose serials have a prefix. */
  public Set<String> executedRepeatedly(String prefix) {
    Set<String> repeated = new TreeSet<>();
    executionsBySerial.forEach(
        (serial, count) -> {
          if (serial.startsWith(prefix) && count.get() > 1) {
            repeated.add(serial + " x" + count);
          }
        });
    return repeated;
  }
}
