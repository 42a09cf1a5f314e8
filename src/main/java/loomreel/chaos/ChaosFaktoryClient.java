package loomreel.chaos;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import loomreel.standin.FaktoryClient;
import loomreel.standin.RespReader;

/**
 * A Faktory client of a chaos run: pushes its jobs on schedule, one by one and in batches, and
 * retries the commands that were unanswered when a connection was cut.
 */
final class ChaosFaktoryClient {
  private static final int MAX_BATCH = 20;

  /** One push of so many is a batch, on average. */
  private static final int PUSHES_PER_BATCH = 4;

  private static final int MAX_PRIORITY = 9;
  private static final long RECONNECT_DELAY_MS = 20;

  /** Separates the random numbers of clients and protocols. */
  private static final long SEED_FACTOR = 37;

  /** The start of the reply to a job id that is in use: the job was accepted before. */
  private static final String NOT_UNIQUE = "NOTUNIQUE";

  private final InetSocketAddress daemon;
  private final Collection<String> pushedJobIds;
  private final ChaosFindings findings;
  private final SplittableRandom random;
  private final ChaosJobSource jobSource;

  /** The present connection, for the fault injector to cut; null before the first. */
  private final AtomicReference<FaktoryClient> connection = new AtomicReference<>();

  /**
   * Creates a client.
   *
   * @param number the client's number among those of its kind
   * @param pushedJobIds collects the ids of jobs that the daemon accepted; safe for several threads
   */
  ChaosFaktoryClient(
      int number,
      long seed,
      InetSocketAddress daemon,
      Collection<String> pushedJobIds,
      ChaosFindings findings) {
    this.daemon = daemon;
    this.pushedJobIds = pushedJobIds;
    this.findings = findings;
    random = new SplittableRandom(seed * SEED_FACTOR + number);
    jobSource = new ChaosJobSource(random, "fak", number);
  }

  /** Pushes jobs over a time, and returns when the daemon has accepted all of them. */
  void run(int jobs, int seconds) throws IOException, InterruptedException {
    JobSchedule schedule = new JobSchedule(jobs, seconds);
    connect();
    int next = 0;
    while (next < jobs) {
      schedule.await(next);
      int size = random.nextInt(PUSHES_PER_BATCH) == 0 ? Math.min(MAX_BATCH, jobs - next) : 1;
      ArrayNode batch = newBatch(next, size);
      pushUntilAccepted(batch);
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
    connection.set(new FaktoryClient(daemon, ChaosRun.PASSWORD));
  }

  private ArrayNode newBatch(int firstJob, int size) {
    ArrayNode batch = FaktoryClient.JSON.createArrayNode();
    for (int job = firstJob; job < firstJob + size; job++) {
      ChaosJob next = jobSource.next(job);
      ObjectNode json = batch.addObject();
      json.put("jid", ChaosRun.jobId(next.serial()));
      json.put("jobtype", "Make");
      json.put("queue", next.jobClass().queue());
      json.put("priority", 1 + random.nextInt(MAX_PRIORITY));
      json.putArray("args").add(next.serial());
      json.putObject("custom").put("key", jobSource.nextRoutingKey());
    }
    return batch;
  }

  /** Pushes until all jobs are known to be accepted: a cut connection may lose the reply. */
  private void pushUntilAccepted(ArrayNode batch) throws IOException, InterruptedException {
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
