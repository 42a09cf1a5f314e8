package loomreel.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.protocol.Reply;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.JobQueue;
import loomreel.faktory.scheduling.JobClasses;
import loomreel.faktory.scheduling.JobScheduler;
import loomreel.io.EventLoop;

/** The commands of operators and dashboards: INFO, FLUSH and MUTATE. */
final class AdminCommands {
  private final EventLoop loop;
  private final JobQueue queue;
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
      JobQueue queue,
      JobClasses classes,
      JobScheduler scheduler,
      IngressReport report,
      boolean mayMutate) {
    this.loop = loop;
    this.queue = queue;
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
    queue.flush(loop.now());
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
    Optional<JobQueue.Target> target = target(command.path("target").asText());
    if (target.isEmpty()) {
      return Reply.error("target is scheduled, retries or dead");
    }
    JsonNode filter = command.path("filter");
    if (filter.has("regexp") && !filter.path("regexp").asText().equals("*")) {
      return Reply.error("filters by jids and jobtype are known here, by regexp only \"*\"");
    }
    return mutate(command.path("cmd").asText(), target.get(), predicate(filter));
  }

  private static Optional<JobQueue.Target> target(String name) {
    return switch (name) {
      case "scheduled" -> Optional.of(JobQueue.Target.SCHEDULED);
      case "retries" -> Optional.of(JobQueue.Target.RETRIES);
      case "dead" -> Optional.of(JobQueue.Target.DEAD);
      default -> Optional.empty();
    };
  }

  /** An empty filter admits every job. */
  private static Predicate<Job> predicate(JsonNode filter) {
    Set<String> jids = new LinkedHashSet<>();
    filter.path("jids").forEach(jid -> jids.add(jid.asText()));
    String type = filter.path("jobtype").asText("");
    return job ->
        (jids.isEmpty() || jids.contains(job.spec.jid()))
            && (type.isEmpty() || type.equals(job.spec.type()));
  }

  private Reply mutate(String operation, JobQueue.Target target, Predicate<Job> filter) {
    long now = loop.now();
    switch (operation) {
      case "clear" -> queue.select(target, job -> true).forEach(job -> queue.discard(job, now));
      case "discard" -> queue.select(target, filter).forEach(job -> queue.discard(job, now));
      case "kill" -> queue.select(target, filter).forEach(job -> queue.kill(job, now));
      case "requeue" -> {
        return requeue(target, filter);
      }
      default -> {
        return Reply.error("cmd is clear, discard, kill or requeue");
      }
    }
    return Reply.OK;
  }

  private Reply requeue(JobQueue.Target target, Predicate<Job> filter) {
    int remaining = 0;
    for (Job job : queue.select(target, filter)) {
      boolean isRequeued =
          queue.requeue(job, classes.mayRepeat(job.spec.requestClass()), loop.now());
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
