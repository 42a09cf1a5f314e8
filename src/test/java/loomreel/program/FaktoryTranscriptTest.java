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

/**
 * Compares the exchange between the program and Faktory clients and workers with a recorded
 * transcript, byte for byte.
 */
@Timeout(120)
class FaktoryTranscriptTest {
  private static final String PASSWORD = "secret";

  /**
   * The number of SHA-256 rounds of the password hash. It equals {@code iterations} in {@link
   * #FAKTORY_SETTINGS}.
   */
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

  /** Returns the Faktory command PUSH for a job with the given id and queue. */
  private static String pushCommand(String jid, String queue) {
    return "PUSH {\"jid\":\""
        + jid
        + "\",\"jobtype\":\"Make\",\"queue\":\""
        + queue
        + "\",\"args\":[1]}";
  }

  /**
   * Connects to the program and sends HELLO with the hash of the password. The salt of the hash is
   * taken from the greeting of the program.
   *
   * @param name the name of the client or worker in the transcript
   * @param furtherFields further JSON members of HELLO, with a leading comma; may be empty
   */
  private RecordedFaktoryClient connectAndSendHello(
      DaemonProcess daemon, String name, String furtherFields) throws Exception {
    RecordedFaktoryClient client = new RecordedFaktoryClient(transcript, name, daemon.faktory());
    Matcher salt = Pattern.compile("\"s\":\"([^\"]+)\"").matcher(client.receive());
    assertTrue(salt.find());
    byte[] passwordHash = (PASSWORD + salt.group(1)).getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < HASH_ITERATIONS; i++) {
      passwordHash = MessageDigest.getInstance("SHA-256").digest(passwordHash);
    }
    String hexHash = HexFormat.of().formatHex(passwordHash);
    client.call("HELLO {\"v\":2,\"pwdhash\":\"" + hexHash + "\"" + furtherFields + "}");
    return client;
  }

  /** Fetches a job from a queue and returns the id of the job, as the worker receives it. */
  private static String fetch(RecordedFaktoryClient worker, String queue) throws IOException {
    Matcher jid = Pattern.compile("\"jid\":\"([0-9a-f]+)\"").matcher(worker.call("FETCH " + queue));
    assertTrue(jid.find());
    return jid.group(1);
  }

  /**
   * The exchange covers PUSH (also with a repeated id and with an unknown queue), an unknown
   * command, FETCH, TRACK, BEAT, ACK, FAIL, INFO, FLUSH and END. At the end another client, called
   * "stranger" in the transcript, sends HELLO without a password hash.
   */
  @Test
  void faktoryExchangeMatchesTheTranscript() throws Exception {
    try (DaemonProcess daemon = new DaemonProcess(DaemonProcess.writeSettings(FAKTORY_SETTINGS))) {
      try (RecordedFaktoryClient client = connectAndSendHello(daemon, "client", "");
          RecordedFaktoryClient worker = connectAndSendHello(daemon, "worker", ",\"wid\":\"f0\"")) {
        client.call("INFO");
        client.call(pushCommand("copy-0001", "copies"));
        client.call(pushCommand("copy-0001", "copies"));
        client.call(pushCommand("copy-0002", "nowhere"));
        client.call("NONSENSE");
        String copy = fetch(worker, "copies");
        client.call("TRACK GET copy-0001");
        worker.call("BEAT {\"wid\":\"f0\"}");
        worker.call("ACK {\"jid\":\"" + copy + "\",\"result\":\"done\"}");
        client.call("TRACK GET copy-0001");
        client.call(pushCommand("issue-001", "renewals"));
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
