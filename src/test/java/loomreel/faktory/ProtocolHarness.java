package loomreel.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.standin.DaemonProcess;
import loomreel.standin.FaktoryClient;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * A daemon process for the tests of one class, with a password, two queues that can be served
 * ({@code copies} of idempotent jobs, {@code renewals} of others) and one that no worker can serve
 * ({@code parked}).
 */
final class ProtocolHarness implements BeforeAllCallback, AfterAllCallback {
  static final String PASSWORD = "secret";
  static final int HASH_ITERATIONS = 7;
  static final int MAX_CONNECTIONS = 64;

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int EXIT_CODE_AFTER_SIGTERM = 143;
  private static final AtomicInteger LAST_JID = new AtomicInteger(10_000_000);

  private DaemonProcess daemon;

  @Override
  public void beforeAll(ExtensionContext context) throws IOException {
    daemon =
        new DaemonProcess(
            new DaemonSettings()
                .withClass("copy", "free")
                .withClass("issue", "single_shot")
                .withClass("only", "free", "nobody")
                .withRule("cold_from", "1.0")
                .withQueue("copies", "copy")
                .withQueue("renewals", "issue")
                .withQueue("parked", "only")
                .withFaktoryText("password", PASSWORD)
                .withFaktory("iterations", Integer.toString(HASH_ITERATIONS))
                .withFaktory("workers", "{fetch_wait: \"300ms\", cold: false}")
                .withFaktory("connections", Integer.toString(MAX_CONNECTIONS))
                .withFaktoryText("command", "256KiB")
                .withFaktoryText("backoff", "50ms")
                .withFaktory("may_mutate", "true")
                .withFaktoryText("spool", "none")
                .write());
  }

  /** Stops the daemon gracefully, which must succeed. */
  @Override
  public void afterAll(ExtensionContext context) throws InterruptedException {
    assertEquals(EXIT_CODE_AFTER_SIGTERM, daemon.shutDown());
    daemon.close();
  }

  InetSocketAddress faktory() {
    return daemon.faktory();
  }

  InetSocketAddress http() {
    return daemon.http();
  }

  InetSocketAddress operators() {
    return daemon.operators();
  }

  /** A connection that has sent nothing. */
  Socket connect() throws IOException {
    return new Socket(daemon.faktory().getAddress(), daemon.faktory().getPort());
  }

  /** A client that knows the password. */
  FaktoryClient client() throws IOException {
    return new FaktoryClient(daemon.faktory(), PASSWORD, null);
  }

  /** A connection of a worker with eight slots. */
  FaktoryClient worker(String wid) throws IOException {
    return new FaktoryClient(daemon.faktory(), PASSWORD, wid, "slots=8");
  }

  /** A jid that no job has had. */
  static String newJid() {
    return "jid-" + LAST_JID.incrementAndGet();
  }

  /** A job whose argument is its jid. */
  static String job(String jid, String queue) {
    return jobWith(jid, queue, "");
  }

  /** A job with further fields: empty, or a comma and JSON fields. */
  static String jobWith(String jid, String queue, String furtherFields) {
    return "{\"jid\":\""
        + jid
        + "\",\"jobtype\":\"Make\",\"queue\":\""
        + queue
        + "\",\"args\":[\""
        + jid
        + "\"]"
        + furtherFields
        + "}";
  }

  /** Waits until a job is in a state, and returns the reply to TRACK. */
  static JsonNode awaitState(FaktoryClient client, String jid, String state) throws Exception {
    JsonNode status = client.callForJson("TRACK GET " + jid);
    for (int i = 0; i < 3000 && !status.path("state").asText().equals(state); i++) {
      Thread.sleep(10);
      status = client.callForJson("TRACK GET " + jid);
    }
    assertEquals(state, status.path("state").asText(), status.toString());
    return status;
  }

  /** Fetches until there is a job. */
  static JsonNode fetch(FaktoryClient worker, String queue) throws IOException {
    for (int i = 0; i < 100; i++) {
      Object job = worker.call("FETCH " + queue);
      if (job != null) {
        return JSON.readTree((String) job);
      }
    }
    throw new AssertionError("nothing to fetch");
  }

  /** The id of an attempt, by its payload. */
  static String attemptId(JsonNode job) {
    return job.path("jid").asText();
  }

  /** The jid of a client's job, by the payload of an attempt. */
  static String clientJid(JsonNode job) {
    return job.path("custom").path("client_jid").asText();
  }

  /** The ACK command for a fetched job. */
  static String ack(JsonNode job) {
    return "ACK {\"jid\":\"" + attemptId(job) + "\",\"result\":\"done\"}";
  }
}
