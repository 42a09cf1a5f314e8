package loomreel.chaos;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** What the threads of a chaos run observe; safe for all of them at once. */
final class ChaosFindings {
  private final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> faults = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
  private final AtomicInteger jobsSubmitted = new AtomicInteger();

  void jobsSubmitted(int count) {
    jobsSubmitted.addAndGet(count);
  }

  int jobsSubmitted() {
    return jobsSubmitted.get();
  }

  /** Counts a job's final state. */
  void jobEnded(String protocol, ChaosJobClass jobClass, String end) {
    increment(ends, String.format("%-7s %s %s", protocol, jobClass.className(), end));
  }

  void faultInjected(String fault) {
    increment(faults, fault);
  }

  void violation(String description) {
    violations.add(description);
  }

  int jobsEnded() {
    return ends.values().stream().mapToInt(AtomicInteger::get).sum();
  }

  ChaosResult result(Map<String, Integer> servedBy) {
    return new ChaosResult(
        snapshot(ends), snapshot(faults), new TreeMap<>(servedBy), List.copyOf(violations));
  }

  private static void increment(Map<String, AtomicInteger> counts, String name) {
    counts.computeIfAbsent(name, n -> new AtomicInteger()).incrementAndGet();
  }

  private static Map<String, Integer> snapshot(Map<String, AtomicInteger> counts) {
    Map<String, Integer> snapshot = new TreeMap<>();
    counts.forEach((name, count) -> snapshot.put(name, count.get()));
    return snapshot;
  }
}
