package loomreel.benchmark;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The jobs of a benchmark: small, equal but for their unique ids. Safe for several threads. */
final class BenchmarkJobs {
  /** A due time long after any benchmark. */
  private static final String FAR_FUTURE = "2099-01-01T00:00:00Z";

  private final AtomicLong lastNumber = new AtomicLong(1_000_000_000L);

  /** A number that no other job of the benchmark has. */
  long nextNumber() {
    return lastNumber.incrementAndGet();
  }

  /** A Faktory job id that no other job of the benchmark has. */
  String nextId() {
    return "m-" + nextNumber();
  }

  /** A job that is due at once, as Faktory's JSON. */
  static String json(String id, String queue) {
    return json(id, queue, "");
  }

  /** A job that is not due during the benchmark, as Faktory's JSON. */
  static String scheduledJson(String id, String queue) {
    return json(id, queue, ",\"at\":\"" + FAR_FUTURE + "\"");
  }

  /** A PUSHB command with jobs that are not due during the benchmark. */
  static String scheduledBatch(int size, String queue, Supplier<String> ids) {
    return Stream.generate(ids)
        .limit(size)
        .map(id -> scheduledJson(id, queue))
        .collect(Collectors.joining(",", "PUSHB [", "]"));
  }

  /** The first text field of this name, found without a parser to spend little processor time. */
  static String textField(String json, String name) {
    String prefix = "\"" + name + "\":\"";
    int start = json.indexOf(prefix) + prefix.length();
    return json.substring(start, json.indexOf('"', start));
  }

  private static String json(String id, String queue, String moreFields) {
    return "{\"jid\":\""
        + id
        + "\",\"jobtype\":\"Make\",\"queue\":\""
        + queue
        + "\",\"args\":[\"c\"]"
        + moreFields
        + "}";
  }
}
