package loomreel.chaos;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;

/**
 * The result of a chaos run.
 *
 * @param ends how many jobs ended how, by client protocol, class and end
 * @param faults how many faults were injected, by name
 * @param servedBy how many jobs were executed, by kind of worker
 * @param violations the invariants that did not hold; empty where all held
 */
public record ChaosResult(
    Map<String, Integer> ends,
    Map<String, Integer> faults,
    Map<String, Integer> servedBy,
    List<String> violations) {
  private static final int MAX_VIOLATIONS_SHOWN = 20;

  /** Prints the result; the exit code, 0 where all invariants held and 1 otherwise. */
  public int print(PrintStream out) {
    printTable(out, "jobs by client, class and end", ends);
    printTable(out, "served by", servedBy);
    if (!faults.isEmpty()) {
      printTable(out, "faults", faults);
    }
    violations.stream()
        .limit(MAX_VIOLATIONS_SHOWN)
        .forEach(violation -> out.println("VIOLATED " + violation));
    if (violations.isEmpty()) {
      out.println(
          "all invariants held: each job has one end, no job ran twice that is not idempotent");
      return 0;
    }
    out.println(violations.size() + " invariants are violated");
    return 1;
  }

  private static void printTable(PrintStream out, String title, Map<String, Integer> rows) {
    out.println(title);
    rows.forEach((name, count) -> out.printf("  %-36s %7d%n", name, count));
  }
}
