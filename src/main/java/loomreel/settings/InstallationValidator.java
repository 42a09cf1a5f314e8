package loomreel.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import loomreel.settings.cue.Binder;
import loomreel.settings.cue.CueException;
import loomreel.settings.cue.Problem;
import loomreel.settings.cue.Tree;

/**
 * Checks what a schema cannot express: relations between fields, and names that have to exist
 * elsewhere in the file. One validator checks one file and collects all that it finds.
 */
final class InstallationValidator {
  /** No client waits less than this, in microseconds. */
  private static final long MIN_DEADLINE_MICROS = 1_000;

  /** The rule on draining workers: nothing new after this, in microseconds. */
  private static final long MAX_DRAIN_GRACE_MICROS = 3_000_000;

  /** Descriptors that Faktory's connections have to leave to HTTP. */
  private static final int MIN_HTTP_DESCRIPTORS = 128;

  private final Tree file;
  private final List<Problem> problems = new ArrayList<>();

  /**
   * Creates the validator of a file.
   *
   * @param file the file's values, for the places of problems
   */
  InstallationValidator(Tree file) {
    this.file = file;
  }

  /**
   * Ends the validation.
   *
   * @throws CueException with all problems found, if there are any
   */
  void throwIfInvalid() throws CueException {
    if (!problems.isEmpty()) {
      throw new CueException(problems);
    }
  }

  void checkInstallation(Installation installation) {
    if (installation.jobClasses().isEmpty()) {
      problem("classes", "at least one class is needed");
    }
    installation
        .jobClasses()
        .forEach((name, jobClass) -> checkJobClass("classes." + name, jobClass));
    checkWorkerSources(installation);
    checkDescriptors(installation);
    if (installation.workerRules().drainGrace().micros() > MAX_DRAIN_GRACE_MICROS) {
      problem("rules.stop_sending_within", "nothing new may go to a draining worker after 3s");
    }
    if (installation.faktory() != null) {
      checkFaktory(
          installation.faktory(),
          installation.jobClasses().keySet(),
          installation.tenants().keySet());
    }
  }

  /**
   * Checks Faktory's section.
   *
   * @param classes the names of the classes that it may refer to
   * @param tenants the names of the tenants that it may refer to
   */
  void checkFaktory(FaktorySettings faktory, Set<String> classes, Set<String> tenants) {
    faktory
        .queues()
        .forEach((name, queue) -> checkQueue("faktory.queues." + name, queue, classes, tenants));
    faktory
        .jobTypes()
        .forEach(
            (name, type) ->
                checkClass("faktory.job_types." + name + ".class", type.jobClass(), classes));
    faktory
        .durability()
        .keySet()
        .forEach(name -> checkClass("faktory.durability." + name, name, classes));
    if (faktory.queues().isEmpty()) {
      problem("faktory.queues", "at least one queue is needed");
    }
    FaktorySettings.Workers workers = faktory.workers();
    if (workers.fetchTimeout().micros() >= workers.heartbeatTimeout().micros()) {
      problem("faktory.workers.fetch_wait", "must be shorter than beat_within");
    }
  }

  private void checkJobClass(String path, Installation.JobClass jobClass) {
    if (jobClass.latencyObjective().micros() > jobClass.deadline().micros()) {
      problem(path + ".target", "later than the deadline");
    }
    if (jobClass.deadline().micros() < MIN_DEADLINE_MICROS) {
      problem(path + ".deadline", "no client waits less than 1ms");
    }
    if (jobClass.idempotency() == Installation.Idempotency.KEYED
        && jobClass.deduplicationWindow().micros() == 0) {
      problem(path + ".window", "a guarded class needs the time in which repeats are dropped");
    }
  }

  private void checkWorkerSources(Installation installation) {
    boolean hasDiscovery = installation.discoveryAddress() != null;
    boolean hasWorkers = !installation.workers().isEmpty();
    boolean hasFaktoryWorkers =
        installation.faktory() != null && installation.faktory().workers().enabled();
    if (hasDiscovery && hasWorkers) {
      problem("workers", "workers come from discovery or from this list, not both");
    }
    if (!hasDiscovery && !hasWorkers && !hasFaktoryWorkers) {
      problem("", "no workers: neither discovery, nor workers, nor Faktory workers");
    }
  }

  private void checkDescriptors(Installation installation) {
    FaktorySettings faktory = installation.faktory();
    int limit = installation.limits().maxDescriptors();
    if (faktory != null && faktory.maxConnections() + MIN_HTTP_DESCRIPTORS > limit) {
      problem(
          "faktory.connections",
          "must leave " + MIN_HTTP_DESCRIPTORS + " of limits.descriptors (" + limit + ") to HTTP");
    }
  }

  private void checkQueue(
      String path, FaktorySettings.Queue queue, Set<String> classes, Set<String> tenants) {
    checkClass(path + ".class", queue.jobClass(), classes);
    if (queue.tenant() != null && !tenants.contains(queue.tenant())) {
      problem(path + ".tenant", "no tenant is called " + queue.tenant());
    }
  }

  private void checkClass(String path, String name, Set<String> classes) {
    if (!classes.contains(name)) {
      problem(path, "no class is called " + name);
    }
  }

  private void problem(String path, String reason) {
    problems.add(Problem.conflict(Binder.place(file, path), path, reason));
  }
}
