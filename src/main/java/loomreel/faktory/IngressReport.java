package loomreel.faktory;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.queue.Job.State;
import loomreel.faktory.queue.JobQueue;
import loomreel.faktory.worker.FaktoryWorkerPool;
import loomreel.io.EventLoop;

/** Counts of jobs, workers and connections: for INFO, and for the periodic log line. */
final class IngressReport {
  /** The server version for dashboards: that of the Faktory release whose INFO this follows. */
  private static final String FAKTORY_VERSION = "1.9.0";

  private static final String ANY_QUEUE = "*";
  private static final long BYTES_PER_MEBIBYTE = 1 << 20;
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** In the order of the report. */
  private static final List<State> FINAL_STATES =
      List.of(State.DONE, State.DEAD, State.EXPIRED, State.CANCELLED);

  private static final DateTimeFormatter UTC_TIME =
      DateTimeFormatter.ofPattern("HH:mm:ss 'UTC'").withZone(ZoneOffset.UTC);

  private final EventLoop loop;
  private final JobQueue queue;
  private final FaktoryWorkerPool workers;
  private final FaktoryListener listener;
  private final Set<String> configuredQueues;
  private final long startedAt;
  private long commandCount;

  /**
   * A report on an ingress that starts now.
   *
   * @param configuredQueues the names of the settings
   */
  IngressReport(
      EventLoop loop,
      JobQueue queue,
      FaktoryWorkerPool workers,
      FaktoryListener listener,
      Set<String> configuredQueues) {
    this.loop = loop;
    this.queue = queue;
    this.workers = workers;
    this.listener = listener;
    this.configuredQueues = configuredQueues;
    startedAt = loop.now();
  }

  /** Counts a command. */
  void commandReceived() {
    commandCount++;
  }

  /** What INFO replies, with the names that clients and dashboards read. */
  ObjectNode info() {
    ObjectNode info = Json.MAPPER.createObjectNode();
    putQueues(info.putObject("faktory"));
    putServer(info.putObject("server"));
    Instant now = Instant.ofEpochSecond(loop.now() / MICROS_PER_SECOND);
    info.put("server_utc_time", UTC_TIME.format(now));
    info.put("now", now.toString());
    return info;
  }

  private void putQueues(ObjectNode faktory) {
    faktory.put("default_size", queue.readyCounts().getOrDefault("default", 0));
    faktory.put("total_enqueued", queue.size(State.ENQUEUED));
    faktory.put("total_failures", queue.failures());
    faktory.put("total_processed", queue.ended(State.DONE) + queue.failures());
    faktory.put("total_queues", configuredQueues.size());
    ObjectNode queues = faktory.putObject("queues");
    configuredQueues.stream()
        .filter(name -> !name.equals(ANY_QUEUE))
        .forEach(name -> queues.put(name, 0));
    queue.readyCounts().forEach(queues::put);
    putTasks(faktory.putObject("tasks"));
  }

  private void putTasks(ObjectNode tasks) {
    tasks.putObject("Scheduled").put("size", queue.size(State.SCHEDULED));
    tasks.putObject("Retries").put("size", queue.size(State.RETRY));
    tasks.putObject("Dead").put("size", queue.size(State.DEAD));
    tasks.putObject("Working").put("size", queue.size(State.ACTIVE));
    ObjectNode ended = tasks.putObject("Ended");
    for (State state : FINAL_STATES) {
      ended.put(nameOf(state), queue.ended(state));
    }
    tasks.putObject("Workers").put("size", workers.size());
  }

  private void putServer(ObjectNode server) {
    server.put("description", "loomreel");
    server.put("faktory_version", FAKTORY_VERSION);
    server.put("uptime", (loop.now() - startedAt) / MICROS_PER_SECOND);
    server.put("connections", listener.openConnections());
    server.put("command_count", commandCount);
    long usedBytes = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    server.put("used_memory_mb", usedBytes / BYTES_PER_MEBIBYTE);
  }

  /** One line for the log. */
  String summary() {
    StringBuilder line = new StringBuilder("faktory");
    append(line, "connections", listener.openConnections());
    append(line, "workers", workers.size());
    append(line, "pushed", queue.pushed());
    append(line, "scheduled", queue.size(State.SCHEDULED));
    append(line, "enqueued", queue.size(State.ENQUEUED));
    append(line, "active", queue.size(State.ACTIVE));
    append(line, "retries", queue.size(State.RETRY));
    append(line, "payload_bytes", queue.liveBytes());
    for (State state : FINAL_STATES) {
      append(line, nameOf(state), queue.ended(state));
    }
    append(line, "accepted", listener.acceptedConnections());
    append(line, "over_limit", listener.connectionsOverLimit());
    return line.toString();
  }

  private static void append(StringBuilder line, String name, long value) {
    line.append(' ').append(name).append('=').append(value);
  }

  private static String nameOf(State state) {
    return state.name().toLowerCase(Locale.ROOT);
  }
}
