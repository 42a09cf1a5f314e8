package loomreel.chaos;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import loomreel.standin.FaktoryClient;
import loomreel.standin.RespReader;

/**
 * A Faktory client of a chaos run: pushes its jobs on schedule, one by one and in batches, and
 * repeats what a cut connection left unanswered.
 */
final class ChaosFaktoryClient {
  private static final int MAX_BATCH = 20;
  private static final int ROUTING_KEYS = 50;
  private static final int MAX_PRIORITY = 9;
  private static final long RECONNECT_DELAY_MS = 20;

  /** How the reply begins to a job id that is in use: the job was taken before. */
  private static final String NOT_UNIQUE = "NOTUNIQUE";

  private final int number;
  private final InetSocketAddress daemon;
  private final Collection<String> pushedJobIds;
  private final ChaosFindings findings;
  private final SplittableRandom random;

  /** The present connection, for the fault injector to cut; null before the first. */
  private final AtomicReference<FaktoryClient> connection = new AtomicReference<>();

  /**
   * Creates a client.
   *
   * @param number the client's number among those of its kind
   * @param pushedJobIds where it adds the ids of jobs that the daemon took; safe for several
   *     threads
   */
  ChaosFaktoryClient(
      int number,
      long seed,
      InetSocketAddress daemon,
      Collection<String> pushedJobIds,
      ChaosFindings findings) {
    this.number = number;
    this.daemon = daemon;
    this.pushedJobIds = pushedJobIds;
    this.findings = findings;
    random = new SplittableRandom(seed * 37 + number);
  }

  /** Pushes so many jobs, and returns when the daemon has taken all of them. */
  void run(int jobs, int seconds) throws IOException, InterruptedException {
    JobSchedule schedule = new JobSchedule(jobs, seconds);
    connect();
    int next = 0;
    while (next < jobs) {
      schedule.await(next);
      int size = random.nextInt(4) == 0 ? Math.min(MAX_BATCH, jobs - next) : 1;
      ArrayNode batch = newBatch(next, size);
      pushUntilTaken(batch);
      batch.forEach(job -> pushedJobIds.add(job.path("jid").asText()));
      findings.jobsSubmitted(size);
      next += size;
    }
    connection.get().close();
  }

  /** Cuts the present connection; whether there was one. */
  boolean cutConnection() throws IOException {
    FaktoryClient present = connection.get();
    if (present == null) {
      return false;
    }
    present.close();
    return true;
  }

  private void connect() throws IOException {
    connection.set(new FaktoryClient(daemon, ChaosRun.PASSWORD, null));
  }

  private ArrayNode newBatch(int firstJob, int size) {
    ArrayNode batch = FaktoryClient.JSON.createArrayNode();
    for (int job = firstJob; job < firstJob + size; job++) {
      ChaosJobClass jobClass = ChaosJobClass.of(random.nextBoolean());
      String serial = jobClass.serial("fak", number, job);
      var json = batch.addObject();
      json.put("jid", ChaosRun.jobId(serial));
      json.put("jobtype", "Make");
      json.put("queue", jobClass.queue());
      json.put("priority", 1 + random.nextInt(MAX_PRIORITY));
      json.putArray("args").add(serial);
      json.putObject("custom").put("key", "k" + random.nextInt(ROUTING_KEYS));
    }
    return batch;
  }

  /** Pushes until all jobs are known to be taken: a reply may be lost with its connection. */
  private void pushUntilTaken(ArrayNode batch) throws IOException, InterruptedException {
    while (true) {
      try {
        push(batch);
        return;
      } catch (FaktoryClient.ErrorReplyException e) {
        throw new IllegalStateException("a batch is rejected", e);
      } catch (IOException e) {
        connection.get().close();
        Thread.sleep(RECONNECT_DELAY_MS);
        connect();
      }
    }
  }

  private void push(ArrayNode batch) throws IOException {
    if (batch.size() > 1) {
      for (JsonNode reason : connection.get().callForJson("PUSHB " + batch)) {
        requireDuplicate(reason.asText());
      }
    } else if (connection.get().call("PUSH " + batch.get(0))
        instanceof RespReader.ErrorReply error) {
      requireDuplicate(error.message());
    }
  }

  private static void requireDuplicate(String reason) {
    if (!reason.startsWith(NOT_UNIQUE)) {
      throw new IllegalStateException(reason);
    }
  }
}
