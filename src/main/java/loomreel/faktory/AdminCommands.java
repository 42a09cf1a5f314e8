package loomreel.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.protocol.Reply;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.JobAdministration;
import loomreel.faktory.scheduling.JobClasses;
import loomreel.faktory.scheduling.JobScheduler;
import loomreel.io.EventLoop;

/** The commands of operators and dashboards: INFO, FLUSH and MUTATE. */
final class AdminCommands {
  private final EventLoop loop;
  private final JobAdministration jobs;
  private final JobClasses classes;
  private final JobScheduler scheduler;
  private final IngressReport report;
  private final boolean mayMutate;

  /**
   * Handles the commands of all connections.
   *
   * @param mayMutate whether FLUSH and MUTATE are permitted
   */
  AdminCommands(
      EventLoop loop,
      JobAdministration jobs,
      JobClasses classes,
      JobScheduler scheduler,
      IngressReport report,
      boolean mayMutate) {
    this.loop = loop;
    this.jobs = jobs;
    this.classes = classes;
    this.scheduler = scheduler;
    this.report = report;
    this.mayMutate = mayMutate;
  }

  /** INFO: counts of jobs, workers and connections. */
  Reply info() {
    return Reply.json(report.info());
  }

  /** FLUSH: cancels all jobs that are not active. */
  Reply flush() {
    if (!mayMutate) {
      return Reply.error("FLUSH is not permitted");
    }
    jobs.flush(loop.now());
    return Reply.OK;
  }

  /**
   * MUTATE: discards, kills or requeues the jobs of a set that a filter admits.
   *
   * @throws Json.MalformedException if the arguments are not JSON
   */
  Reply mutate(String arguments) throws Json.MalformedException {
    if (!mayMutate) {
      return Reply.error("MUTATE is not permitted");
    }
    JsonNode command = Json.read(arguments);
    Optional<JobAdministration.Target> target = target(command.path("target").asText());
    if (target.isEmpty()) {
      return Reply.error("target is scheduled, retries or dead");
    }
    JsonNode filter = command.path("filter");
    if (filter.has("regexp") && !filter.path("regexp").asText().equals("*")) {
      return Reply.error("filters by jids and jobtype are known here, by regexp only \"*\"");
    }
    return mutate(command.path("cmd").asText(), target.get(), predicate(filter));
  }

  private static Optional<JobAdministration.Target> target(String name) {
    return switch (name) {
      case "scheduled" -> Optional.of(JobAdministration.Target.SCHEDULED);
      case "retries" -> Optional.of(JobAdministration.Target.RETRIES);
      case "dead" -> Optional.of(JobAdministration.Target.DEAD);
      default -> Optional.empty();
    };
  }

  /** An empty filter admits every job. */
  private static Predicate<Job> predicate(JsonNode filter) {
    Set<String> jids = new LinkedHashSet<>();
    filter.path("jids").forEach(jid -> jids.add(jid.asText()));
    String type = filter.path("jobtype").asText("");
    return job ->
        (jids.isEmpty() || jids.contains(job.spec().jid()))
            && (type.isEmpty() || type.equals(job.spec().type()));
  }

  private Reply mutate(String operation, JobAdministration.Target target, Predicate<Job> filter) {
    long now = loop.now();
    switch (operation) {
      case "clear" -> jobs.select(target, job -> true).forEach(job -> jobs.discard(job, now));
      case "discard" -> jobs.select(target, filter).forEach(job -> jobs.discard(job, now));
      case "kill" -> jobs.select(target, filter).forEach(job -> jobs.kill(job, now));
      case "requeue" -> {
        return requeue(target, filter);
      }
      default -> {
        return Reply.error("cmd is clear, discard, kill or requeue");
      }
    }
    return Reply.OK;
  }

  private Reply requeue(JobAdministration.Target target, Predicate<Job> filter) {
    int remaining = 0;
    for (Job job : jobs.select(target, filter)) {
      boolean isRequeued =
          jobs.requeue(job, classes.isIdempotent(job.spec().requestClass()), loop.now());
      remaining += isRequeued ? 0 : 1;
    }
    scheduler.wakeUp();
    return remaining == 0
        ? Reply.OK
        : Reply.error(
            remaining
                + " jobs stay: they may have run and must not run twice, or there is no room");
  }
}
