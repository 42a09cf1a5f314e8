package loomreel.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * What operators have set by hand. It stays in force until they change it, across restarts of the
 * dispatcher.
 *
 * @param clientsDrained whether clients are drained: they are directed to other dispatchers
 * @param disabledWorkers the ids of workers that receive no jobs
 */
public record OperatorOverrides(boolean clientsDrained, Set<String> disabledWorkers) {
  /** Nothing is overridden. */
  public static final OperatorOverrides NONE = new OperatorOverrides(false, Set.of());

  // Words of the text form, which is stored in files and exchanged with other versions.
  private static final String CLIENTS_DRAINED = "drained";
  private static final String WORKER_DISABLED = "down ";

  /** Reads the text form: a line for each disabled worker, and one if clients are drained. */
  static OperatorOverrides parse(String text) {
    Set<String> disabled = new TreeSet<>();
    text.lines()
        .filter(line -> line.startsWith(WORKER_DISABLED))
        .forEach(line -> disabled.add(line.substring(WORKER_DISABLED.length())));
    return new OperatorOverrides(text.lines().anyMatch(CLIENTS_DRAINED::equals), disabled);
  }

  /** The text form, as {@link #parse} reads it. */
  String toText() {
    StringBuilder text = new StringBuilder(clientsDrained ? CLIENTS_DRAINED + "\n" : "");
    disabledWorkers.forEach(id -> text.append(WORKER_DISABLED).append(id).append('\n'));
    return text.toString();
  }

  /** What changes where these are replaced by others. */
  List<OverrideChange> changesTo(OperatorOverrides next) {
    List<OverrideChange> changes = new ArrayList<>();
    next.disabledWorkers.stream()
        .filter(id -> !disabledWorkers.contains(id))
        .forEach(id -> changes.add(new OverrideChange.OfWorker(id, true)));
    disabledWorkers.stream()
        .filter(id -> !next.disabledWorkers.contains(id))
        .forEach(id -> changes.add(new OverrideChange.OfWorker(id, false)));
    if (clientsDrained != next.clientsDrained) {
      changes.add(new OverrideChange.OfClientDrain(next.clientsDrained));
    }
    return changes;
  }

  /** The same with one worker disabled or enabled. */
  OperatorOverrides withWorkerDisabled(String id, boolean disabled) {
    Set<String> next = new TreeSet<>(disabledWorkers);
    if (disabled) {
      next.add(id);
    } else {
      next.remove(id);
    }
    return new OperatorOverrides(clientsDrained, next);
  }

  /** The same with clients drained or not. */
  OperatorOverrides withClientsDrained(boolean drained) {
    return new OperatorOverrides(drained, disabledWorkers);
  }
}
