package loomreel.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The overrides that operators have set: whether clients are drained, and which workers are
 * disabled. An override stays in force until operators change it or the dispatcher ends.
 *
 * <p>If a state directory is configured, {@link OperatorOverridesStore} stores the overrides in a
 * file, and a restarted dispatcher uses the stored overrides. The {@code daemon} command uses no
 * state directory, so its overrides are not stored.
 *
 * @param clientsDrained whether clients are drained, which directs them to other dispatchers
 * @param disabledWorkers the ids of the workers that receive no jobs
 */
public record OperatorOverrides(boolean clientsDrained, Set<String> disabledWorkers) {
  /** No overrides: clients are not drained, and no worker is disabled. */
  public static final OperatorOverrides NONE = new OperatorOverrides(false, Set.of());

  // Keywords of the text format. They must not change, because processes of other versions read
  // the same files and receive the same messages.
  private static final String CLIENTS_DRAINED = "drained";
  private static final String WORKER_DISABLED = "down ";

  /**
   * Parses the text format. It consists of a line {@code down ID} for each disabled worker, and a
   * line {@code drained} if clients are drained. Other lines are ignored.
   */
  static OperatorOverrides parse(String text) {
    Set<String> disabled = new TreeSet<>();
    text.lines()
        .filter(line -> line.startsWith(WORKER_DISABLED))
        .forEach(line -> disabled.add(line.substring(WORKER_DISABLED.length())));
    return new OperatorOverrides(text.lines().anyMatch(CLIENTS_DRAINED::equals), disabled);
  }

  /** Returns the overrides in the text format that {@link #parse} reads. */
  String toText() {
    StringBuilder text = new StringBuilder(clientsDrained ? CLIENTS_DRAINED + "\n" : "");
    disabledWorkers.forEach(id -> text.append(WORKER_DISABLED).append(id).append('\n'));
    return text.toString();
  }

  /** Returns the changes that turn these overrides into {@code next}. */
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

  /**
   * Returns a copy of these overrides in which one worker is disabled or enabled.
   *
   * @param disabled true to disable the worker, false to enable it
   */
  OperatorOverrides withWorkerDisabled(String id, boolean disabled) {
    Set<String> next = new TreeSet<>(disabledWorkers);
    if (disabled) {
      next.add(id);
    } else {
      next.remove(id);
    }
    return new OperatorOverrides(clientsDrained, next);
  }

  /**
   * Returns a copy of these overrides in which clients are drained or not.
   *
   * @param drained whether clients are drained in the copy
   */
  OperatorOverrides withClientsDrained(boolean drained) {
    return new OperatorOverrides(drained, disabledWorkers);
  }
}
