package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loomreel.program.harness.FaktoryDaemonSettings;
import loomreel.program.harness.RecordedFaktoryClient;
import loomreel.program.harness.Transcript;
import loomreel.standin.DaemonProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The exchange with Faktory clients and workers, compared byte for byte with a transcript. */
@Timeout(120)
class FaktoryTranscriptTest {
  private static final String PASSWORD = "secret";
  private static final int HASH_ITERATIONS = 7;

  private static final String FAKTORY_SETTINGS =
      FaktoryDaemonSettings.of(
          "",
          """
          password: "secret"
          iterations: 7
          queues: {copies: class: "copy", renewals: class: "issue"}
          workers: {fetch_wait: "20s", cold: false}
          backoff: "1h"
          may_mutate: true
          spool: "none"
          """);

  private final Transcript transcript = new Transcript();

  private static String push(String jid, String queue) {
    return "PUSH {\"jid\":\""
        + jid
        + "\",\"jobtype\":\"Make\",\"queue\":\""
        + queue
        + "\",\"args\":[1]}";
  }

  /** Connects, and sends HELLO with the hash of the password and the salt of the greeting. */
  private RecordedFaktoryClient hello(DaemonProcess daemon, String name, String more)
      throws Exception {
    RecordedFaktoryClient client = new RecordedFaktoryClient(transcript, name, daemon.faktory());
    Matcher salt = Pattern.compile("\"s\":\"([^\"]+)\"").matcher(client.receive());
    assertTrue(salt.find());
    byte[] hash = (PASSWORD + salt.group(1)).getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < HASH_ITERATIONS; i++) {
      hash = MessageDigest.getInstance("SHA-256").digest(hash);
    }
    String password = HexFormat.of().formatHex(hash);
    client.call("HELLO {\"v\":2,\"pwdhash\":\"" + password + "\"" + more + "}");
    return client;
  }

  /** Fetches a job; its id at the worker. */
  private static String fetch(RecordedFaktoryClient worker, String queue) throws IOException {
    Matcher jid = Pattern.compile("\"jid\":\"([0-9a-f]+)\"").matcher(worker.call("FETCH " + queue));
    assertTrue(jid.find());
    return jid.group(1);
  }

  @Test
  void faktoryClientsAndWorkersAreServed() throws Exception {
    try (DaemonProcess daemon = new DaemonProcess(DaemonProcess.writeSettings(FAKTORY_SETTINGS))) {
      try (RecordedFaktoryClient client = hello(daemon, "client", "");
          RecordedFaktoryClient worker = hello(daemon, "worker", ",\"wid\":\"f0\"")) {
        client.call("INFO");
        client.call(push("copy-0001", "copies"));
        client.call(push("copy-0001", "copies"));
        client.call(push("copy-0002", "nowhere"));
        client.call("NONSENSE");
        String copy = fetch(worker, "copies");
        client.call("TRACK GET copy-0001");
        worker.call("BEAT {\"wid\":\"f0\"}");
        worker.call("ACK {\"jid\":\"" + copy + "\",\"result\":\"done\"}");
        client.call("TRACK GET copy-0001");
        client.call(push("issue-001", "renewals"));
        String issue = fetch(worker, "renewals");
        worker.call("FAIL {\"jid\":\"" + issue + "\",\"errtype\":\"E\",\"message\":\"no\"}");
        client.call("TRACK GET issue-001");
        client.call("INFO");
        client.call("FLUSH");
        client.call("END");
        client.receive();
      }
      try (RecordedFaktoryClient stranger =
          new RecordedFaktoryClient(transcript, "stranger", daemon.faktory())) {
        stranger.receive();
        stranger.call("HELLO {\"v\":2}");
        stranger.receive();
      }
      transcript.event("exit code " + daemon.shutDown());
    }
    transcript.check("faktory");
  }
}
